package agent

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Guards against a target that sends bytes without end, in a head or a body, until the agent
// closes the connection: it takes memory, and its calls end only with their deadline.
func TestTargetThatSendsWithoutEndIsLeft(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: "
	for name, c := range map[string]struct {
		head string
		next func(i int) string
		want string
	}{
		"line of a head":  {head: head, next: func(int) string { return strings.Repeat("x", 4<<10) }, want: ErrorTargetConnectionBroke},
		"lines of a head": {head: head + "text/plain\r\n", next: func(int) string { return strings.Repeat("X-A: b\r\n", 500) }, want: ErrorTargetConnectionBroke},
		"body":            {head: head + "application/json\r\n\r\n", next: func(int) string { return strings.Repeat("x", 64<<10) }, want: ErrorTargetFailed},
		"event":           {head: head + "text/event-stream\r\n\r\n", next: func(int) string { return strings.Repeat("x", 64<<10) }, want: ErrorTargetFailed},
		"comments":        {head: head + "text/event-stream\r\n\r\n", next: func(int) string { return ": " + strings.Repeat("a", 64<<10) + "\n\n" }, want: ErrorTargetFailed},
		"tokens": {head: head + "text/event-stream\r\n\r\n", next: func(i int) string {
			return "event: token\ndata: {\"offset\": " + strconv.Itoa(i) + ", \"text\": \"" + strings.Repeat("x", 64<<10) + "\"}\n\n"
		}, want: ErrorTargetFailed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				closed := make(chan struct{})
				dial := func(context.Context, string, string) (net.Conn, error) {
					c1, c2 := net.Pipe()
					go func() {
						defer close(closed)
						r := bufio.NewReader(c2)
						_, err := http.ReadRequest(r)
						require.NoError(t, err)
						go func() { _, _ = io.Copy(io.Discard, r) }()
						_, err = io.WriteString(c2, c.head)
						for i := 0; err == nil; i++ {
							_, err = io.WriteString(c2, c.next(i))
						}
					}()
					return c1, nil
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				startedAt := time.Now()
				result := newTarget("http://core-1:1", dial).run(ctx, &wire.AttemptRequest{Attempt: "a", Request: "r", Operation: "o"}, func(*wire.Token) {})
				<-closed
				require.Less(t, time.Since(startedAt), time.Second)
				require.Contains(t, result.GetError(), c.want)
				require.True(t, result.GetRan(), "the call may have run")
				runtime.GC()
				runtime.ReadMemStats(&after)
				require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(16<<20))
			})
		})
	}
}
