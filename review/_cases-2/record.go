package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// logf writes a line with the time since the start in seconds.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
