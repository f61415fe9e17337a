package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// writeWithoutEnd writes the prefix and then the chunk until the caller closes the connection
// or maxHostileBytes are written, and returns the number of bytes written.
func writeWithoutEnd(c net.Conn, prefix, chunk string) (written int64) {
	const maxHostileBytes = 64 << 20
	block := []byte(strings.Repeat(chunk, 1+(32<<10)/len(chunk)))
	n, err := io.WriteString(c, prefix)
	for written = int64(n); err == nil && written < maxHostileBytes; written += int64(n) {
		n, err = c.Write(block)
	}
	return written
}

// endlessHeads are heads that never end.
var endlessHeads = map[string][2]string{
	"one line":          {"HTTP/1.1 200 OK\r\nFiller: ", "x"},
	"status line":       {"HTTP/1.1 200 ", "x"},
	"many lines":        {"HTTP/1.1 200 OK\r\n", "Filler: x\r\n"},
	"continuation":      {"HTTP/1.1 200 OK\r\nFiller: x\r\n", " x\r\n"},
	"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"no response":       {"", "\x00"},
}

// Guards against a target whose response head never ends and that takes the memory of the
// process, or the request until its deadline.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			written := make(chan int64, 1)
			address := serve(t, func(_ int, c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				written <- writeWithoutEnd(c, head[0], head[1])
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			var failed *Error
			_, err := NewPool(Options{Timers: timer.NewService()}).Do(ctx, call(address, "a"))
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.MayHaveArrived())
			require.NoError(t, ctx.Err(), "the call ended by itself")
			// What was written beyond the limit is in the buffers of the two sockets.
			require.Less(t, <-written, int64(32<<20), "the connection is closed")
		})
	}
}

// Guards against many targets with endless heads that together take the memory of a gateway:
// 100 of them must stay far below its 184 MB.
func TestHundredEndlessHeadsTakeLittleMemory(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		writeWithoutEnd(c, "HTTP/1.1 200 OK\r\nFiller: ", "x")
	})
	p := NewPool(Options{Timers: timer.NewService()})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var calls sync.WaitGroup
	for i := range 100 {
		calls.Go(func() {
			_, err := p.Do(t.Context(), call(address, fmt.Sprint(i)))
			require.ErrorContains(t, err, (&HeadTooLargeError{}).Error())
		})
	}
	calls.Wait()
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(92<<20), "half of a gateway's memory, released or not")
}

// Guards against a late second copy of an answer that the next request on the connection
// takes for its own: with the id of the earlier request, or without one.
func TestLateCopyIsNotTaken(t *testing.T) {
	for name, copied := range map[string]string{
		"with its id": completeResponse("a", "late"),
		"without id":  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			address := serve(t, func(_ int, c net.Conn) {
				respondAll(c, func(id string) string {
					n++
					if n == 1 {
						return completeResponse(id, "first")
					}
					// The copy arrives after the connection was found idle.
					return copied + completeResponse(id, "second")
				})
			})
			p := NewPool(Options{Timers: timer.NewService()})
			for _, id := range []string{"a", "b"} {
				resp, err := p.Do(t.Context(), call(address, id))
				if err != nil {
					require.Equal(t, "without id", name)
					require.Equal(t, "b", id)
					return
				}
				body, err := io.ReadAll(resp)
				require.NoError(t, err)
				require.Equal(t, map[string]string{"a": "first", "b": "second"}[id], string(body))
				resp.Close()
			}
		})
	}
}

// Guards against a refusal whose body never ends, which would hold its request.
func TestDrainEndsInTime(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nId: a\r\nContent-Length: 100\r\n\r\n")
		for range 200 {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	p := NewPool(Options{Timers: timer.NewService()})
	resp, err := p.Do(t.Context(), call(address, "a"))
	require.NoError(t, err)
	startedAt := time.Now()
	resp.Drain()
	require.Less(t, time.Since(startedAt), 10*time.Second)
	require.Empty(t, p.idle[address])
}

// FuzzResponse guards against a call that returns more than the limits allow, or a body as
// complete that isn't, for any bytes of a target.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(completeResponse("a", "body")), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"+completeResponse("a", "body")), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"), false)
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: a\r\n\r\nbody"), false)
	for _, head := range endlessHeads {
		f.Add([]byte(head[0]+strings.Repeat(head[1], 2*MaxHeadBytes/len(head[1]))), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		client, target := net.Pipe()
		go func() {
			_, _ = target.Write(data)
			_ = target.Close()
		}()
		defer func() { _ = client.Close() }()
		head := &headLimiter{r: client}
		c := &conn{net: client, head: head, r: bufio.NewReaderSize(head, readBufferSize), used: reused}
		resp, err := c.read(call("10.0.0.1:80", "a"))
		if err != nil {
			return
		}
		id := resp.Header.Get("Id")
		require.True(t, id == "a" || id == "" && !reused, "a response of another request was accepted")
		r := &Response{Response: resp, conn: c}
		n, err := io.Copy(io.Discard, r)
		if err == nil && resp.ContentLength >= 0 && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified {
			require.Equal(t, resp.ContentLength, n, "a short body looks complete")
		}
	})
}
