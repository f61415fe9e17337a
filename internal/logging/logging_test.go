package logging

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is a reader of standard output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// Guards against a process that stands still because nobody reads its log, and
// against lines that are dropped without a word.
func TestStuckReaderStopsNothing(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range 3 * queueLines {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		require.Fail(t, "Write blocks")
	}
	require.Positive(t, w.Dropped())
	close(out.release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, w.Stop(ctx))
	require.Contains(t, out.text.String(), "log lines dropped=")
	require.Contains(t, out.text.String(), "line 0\n")
}
