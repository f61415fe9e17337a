package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// uploadsConfig has one route of requests that must not be repeated.
const uploadsConfig = `{"version":7,"routes":[{"name":"r-booking","host":"pule25.example","pathPrefix":"/bobo563/","type":"unsafe","timeoutMs":20000,"sloMs":5000,"priority":2,"backend":"wuno96b","attempts":1,"phases":[],"public":false,"sticky":false,"resumable":false}],
"backends":[{"name":"wuno96b","healthPath":"/healthz","maxConns":230,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}`

const (
	// uploadMemoryMB is the memory of an edge machine on the sheet of caroni-scan-grown, taken as MiB.
	uploadMemoryMB = 184
	// uploadBody is the size of a body: the catalog's maxBodyBytes.
	uploadBody = 4194304
	// uploads is the number of consumers, each with a kept channel, and uploadGap the time between
	// their requests.
	uploads   = 30
	uploadGap = 50 * time.Millisecond
	// slowRate is how many bytes a second a slow worker reads of a request.
	slowRate = 500_000
	// slowBuffer is the receive buffer of a worker.
	slowBuffer = 64 << 10
	// allowedLost is the number of channels that may be closed without an answer.
	allowedLost = 3
)

// upload is the state of the case.
type upload struct {
	*stage
	mu      sync.Mutex
	slow    bool
	reached map[string]bool
	lost    int // closed without an answer after the request had been passed on
	closed  int // closed without an answer
	served  int
	other   int
	peakMB  int
	kills   int
}

// playUploads shows that a gateway that holds large requests for workers that read slowly exceeds
// the memory of its machine.
func playUploads(s *stage) (result, error) {
	c := &upload{stage: s, reached: map[string]bool{}}
	s.memoryMB = uploadMemoryMB
	if err := s.start(3, 1, uploadsConfig); err != nil {
		return result{}, err
	}
	for range 3 {
		wk, err := s.newWorker("wuno96b", 32, c.act)
		if err != nil {
			return result{}, err
		}
		wk.accept = func(nc net.Conn) {
			if tcp, ok := nc.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(slowBuffer)
			}
		}
	}
	gate := s.gates[0]
	if err := s.await("a request is served", 10*time.Second, func() bool {
		return s.send(gate, request{id: newRequestID(), method: http.MethodPost, path: "/bobo563/1", body: "small", deadline: 2 * time.Second}).status == http.StatusOK
	}); err != nil {
		return result{}, err
	}
	time.Sleep(contact + 2*time.Second)
	c.mu.Lock()
	c.slow = s.trouble
	c.mu.Unlock()
	s.wg.Go(func() { c.watchMemory(gate) })
	var wg sync.WaitGroup
	for range uploads {
		wg.Go(func() { c.consumer(gate) })
		time.Sleep(uploadGap)
	}
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	text := fmt.Sprintf("%d kept channels closed without an answer after the request had been passed on to a sound worker, %d allowed; peak memory of the gateway %d MB of %d MB, killed %d times; of %d requests %d served, %d closed, %d answered otherwise",
		c.lost, allowedLost, c.peakMB, uploadMemoryMB, c.kills, uploads, c.served, c.closed, c.other)
	return result{broken: c.lost > allowedLost, text: text}, nil
}

// act reads the body, slowly in the disruption, and runs the request.
func (c *upload) act(wk *worker, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	c.mu.Lock()
	slow := c.slow
	c.reached[id] = true
	c.mu.Unlock()
	n, buf := 0, make([]byte, 32<<10)
	for {
		k, err := r.Body.Read(buf)
		n += k
		if err == io.EOF {
			break
		}
		if err != nil {
			c.logf("worker %s lost request %s after %d bytes: %v", wk.name(), id, n, err)
			return
		}
		if slow {
			time.Sleep(time.Duration(float64(k) / slowRate * float64(time.Second)))
		}
	}
	c.logf("worker %s ran request %s of %d bytes", wk.name(), id, n)
	_, _ = io.WriteString(w, "booked\n")
}

// consumer sends a small and then a large request on one channel.
func (c *upload) consumer(p *process) {
	nc, err := net.DialTimeout("tcp", c.frontend(p), time.Second)
	if err != nil {
		c.logf("no channel: %v", err)
		return
	}
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	if status, err := c.exchange(nc, r, newRequestID(), []byte("small")); status != http.StatusOK {
		c.logf("small request: status %d, %v", status, err)
		return
	}
	id := newRequestID()
	status, err := c.exchange(nc, r, id, bytes.Repeat([]byte("x"), uploadBody))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logf("request %s of %d bytes: status %d, %v, reached a worker: %t", id, uploadBody, status, err, c.reached[id])
	switch {
	case status == 0 && c.reached[id]:
		c.lost++
		c.closed++
	case status == 0:
		c.closed++
	case status == http.StatusOK:
		c.served++
	default:
		c.other++
	}
}

// exchange sends a request on a channel and reads the answer.
func (c *upload) exchange(nc net.Conn, r *bufio.Reader, id string, body []byte) (int, error) {
	const deadline = 20 * time.Second
	_ = nc.SetDeadline(time.Now().Add(deadline + time.Second))
	head := fmt.Sprintf("POST /bobo563/lo7/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, id, deadline.Milliseconds(), key, len(body))
	if _, err := nc.Write(append([]byte(head), body...)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// watchMemory kills a process that uses more than its memory, and starts it again, as the platform
// does.
func (c *upload) watchMemory(p *process) {
	for c.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		mb := residentMB(p.cmd.Process.Pid)
		c.mu.Lock()
		c.peakMB = max(c.peakMB, mb)
		c.mu.Unlock()
		if mb <= uploadMemoryMB {
			continue
		}
		c.logf("%s uses %d MB, more than its %d MB: the platform kills it", p.name, mb, uploadMemoryMB)
		c.mu.Lock()
		c.kills++
		c.mu.Unlock()
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.ended
		time.Sleep(500 * time.Millisecond)
		if c.ctx.Err() != nil || c.launch(p) != nil {
			return
		}
	}
}

// residentMB returns the resident memory of a process in units of 1 MiB, without files.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb / 1024
		}
	}
	return 0
}
