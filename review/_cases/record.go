package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// event writes one line.
func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }
