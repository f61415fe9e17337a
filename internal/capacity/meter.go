package capacity

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	kibibyte = 1024
	million  = 1e6
)

// processorTime returns the processor time that a process has used, summed over
// its threads. The scheduler's figure is used because that of /proc/PID/stat
// counts in steps of 10 ms.
func processorTime(pid int) (time.Duration, error) {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(files) == 0 {
		return 0, errors.Errorf("process %d: no processor time in /proc", pid)
	}
	var sum time.Duration
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			continue // the thread has ended
		}
		used, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(used, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(err, "decode %s", f)
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// memory returns the resident memory of a process in bytes: now, and at most so far.
func memory(pid int) (now, peak float64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, errors.Wrapf(err, "memory of process %d", pid)
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kib, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			now = kib * kibibyte
		case "VmHWM:":
			peak = kib * kibibyte
		}
	}
	return now, peak, nil
}

// ownTime returns the processor time of this process.
func ownTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const repeats = 5

// perCall returns the median processor time of one call in nanoseconds.
func perCall(calls int, do func(i int)) float64 {
	var all []float64
	for range repeats {
		runtime.GC()
		before := ownTime()
		for i := range calls {
			do(i)
		}
		all = append(all, float64(ownTime()-before)/float64(calls))
	}
	return median(all)
}

// heapOf returns how much live heap make leaves, in bytes.
func heapOf(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
	return after - before
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile returns the value below which the share q of the values lie.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// machineTimes returns the busy and the total time of all cores, in ticks.
func machineTimes() (busy, total float64) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	const idle, ioWait, used = 4, 5, 9 // columns; guest time is counted in the others
	for i, f := range strings.Fields(line) {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil || i >= used {
			continue
		}
		total += n
		if i != idle && i != ioWait {
			busy += n
		}
	}
	return busy, total
}

// counter counts the bytes of the connections that it dials, in both directions
// and without the headers of TCP and IP.
type counter struct {
	read, written atomic.Int64
}

func (c *counter) total() float64 { return float64(c.read.Load() + c.written.Load()) }

func (c *counter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, c: c}, nil
}

type countedConn struct {
	net.Conn
	c *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.written.Add(int64(n))
	return n, err
}
