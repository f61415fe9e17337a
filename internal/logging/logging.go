// Package logging sends the log to standard output without ever blocking.
//
// Lines wait in a bounded queue. When whoever reads standard output is too slow,
// further lines are dropped and counted, and a line says how many.
//
// # Usage
//
//	w := logging.Install(os.Stdout)
//	defer w.Stop(ctx)
package logging

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// queueLines bounds the lines that wait; one takes about 300 bytes.
const queueLines = 2048

// Writer is an io.Writer that doesn't block. Each Write is one line.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	quit    chan struct{}
	once    sync.Once
	done    chan struct{}
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Install makes klog write to out through a Writer.
func Install(out io.Writer) *Writer {
	w := NewWriter(out)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			panic("logging: " + err.Error()) // the names are klog's own
		}
	}
	klog.SetOutput(w)
	return w
}

// Write implements io.Writer. It drops the line when the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped and not reported yet.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.quit:
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

// write writes a line and what was dropped before it. An error of standard output
// has no other place to be reported.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "log lines dropped=%d\n", n)
	}
	_, _ = w.out.Write(line)
}

// Stop implements kernel.Stopper. It writes what waits, until ctx ends.
func (w *Writer) Stop(ctx context.Context) error {
	w.once.Do(func() { close(w.quit) })
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Done implements kernel.Stopper.
func (w *Writer) Done() <-chan struct{} { return w.done }
