package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// serve runs act for each connection accepted by a listener on loopback.
func serve(t *testing.T, act func(n int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go act(n, c)
		}
	}()
	return l.Addr().String()
}

func call(address, id string) Call {
	return Call{Address: address, Request: &http.Request{
		Method: http.MethodPost, Host: address, URL: &url.URL{Scheme: "http", Host: address, Path: "/"}, Header: http.Header{"Id": {id}},
	}, Body: []byte("body"), Match: matchID(id)}
}

func matchID(id string) func(*http.Response) Match {
	return func(r *http.Response) Match {
		switch r.Header.Get("Id") {
		case id:
			return Matched
		case "":
			return Unnamed
		}
		return Mismatched
	}
}

// respondAll responds to each request on a connection with the result of answer.
func respondAll(c net.Conn, answer func(id string) string) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, answer(req.Header.Get("Id")))
	}
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against a response to an earlier request that is returned for this one.
func TestForeignAnswerIsPassedOver(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		respondAll(c, func(id string) string { return completeResponse("other", "wrong") + completeResponse(id, "right") })
	})
	p := NewPool(Options{Timers: timer.NewService()})
	resp, err := p.Do(t.Context(), call(address, "a"))
	require.NoError(t, err)
	body, err := io.ReadAll(resp)
	require.NoError(t, err)
	require.Equal(t, "right", string(body))
	resp.Close()
}

// Guards against reusing a connection on which bytes arrived while it was idle, or
// which the target closed.
func TestConnectionWithStrayBytesIsNotUsedAgain(t *testing.T) {
	connections := make(chan int, 10)
	sent := make(chan struct{}, 10)
	address := serve(t, func(n int, c net.Conn) {
		connections <- n
		respondAll(c, func(id string) string {
			time.AfterFunc(20*time.Millisecond, func() {
				_, _ = io.WriteString(c, completeResponse(id, "once more"))
				sent <- struct{}{}
			})
			return completeResponse(id, "x")
		})
	})
	p := NewPool(Options{Timers: timer.NewService()})
	for i := range 3 {
		resp, err := p.Do(t.Context(), call(address, fmt.Sprint(i)))
		require.NoError(t, err)
		_, err = io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close()
		<-sent
	}
	require.Len(t, connections, 3, "each request had a connection of its own")
}

// Guards against a request that is reported as not sent although the target has
// received it, and vice versa.
func TestErrorTellsWhetherTheRequestWasSent(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = c.Close()
	})
	p := NewPool(Options{Timers: timer.NewService()})
	_, err := p.Do(t.Context(), call(address, "a"))
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.MayHaveArrived())

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = p.Do(t.Context(), call(closed, "a"))
	require.ErrorAs(t, err, &failed)
	require.False(t, failed.MayHaveArrived())
}

// Guards against a truncated response without a length that is taken as complete,
// and against a call that continues after its context was canceled.
func TestBrokenAndCancelledAnswers(t *testing.T) {
	address := serve(t, func(n int, c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		if n > 1 {
			return // the connection stays open without further data
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
	})
	p := NewPool(Options{Timers: timer.NewService()})
	resp, err := p.Do(t.Context(), call(address, "a"))
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.Error(t, err, "reset before the end")
	require.False(t, resp.BodyComplete())
	resp.Close()

	ctx, cancel := context.WithCancel(t.Context())
	resp, err = p.Do(ctx, call(address, "a"))
	require.NoError(t, err)
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err = io.ReadAll(resp)
	require.Error(t, err)
	require.False(t, errors.Is(err, io.EOF))
	resp.Close()
}

// Guards against connections that stay open to targets that are gone, until the process has no
// file descriptors left: a call to any target closes those that have expired.
func TestExpiredConnectionsOfOtherTargetsAreClosed(t *testing.T) {
	closed := make(chan struct{}, 3)
	gone := serve(t, func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				closed <- struct{}{}
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	other := serve(t, func(_ int, c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := NewPool(Options{Timers: timer.NewService()})
	var open []*Response
	for range cap(closed) {
		r, err := p.Do(t.Context(), call(gone, "1"))
		require.NoError(t, err)
		open = append(open, r)
	}
	for _, r := range open {
		_, err := io.Copy(io.Discard, r)
		require.NoError(t, err)
		r.Close()
	}
	p.mu.Lock()
	require.Len(t, p.idle[gone], cap(closed))
	for _, cn := range p.idle[gone] {
		cn.expires = time.Now().Add(-time.Second)
	}
	p.sweptAt = time.Time{}
	p.mu.Unlock()
	r, err := p.Do(t.Context(), call(other, "1"))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, r)
	require.NoError(t, err)
	r.Close()
	for range cap(closed) {
		<-closed
	}
	require.NotContains(t, p.idle, gone)
}

// Guards against a second copy of a large body, which lives until a slow target has read it.
func TestBodyIsNotCopied(t *testing.T) {
	const size = 8 << 20
	address := serve(t, func(_ int, c net.Conn) { respondAll(c, func(id string) string { return completeResponse(id, "x") }) })
	p := NewPool(Options{Timers: timer.NewService()})
	c := call(address, "1")
	c.Body = make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	resp, err := p.Do(t.Context(), c)
	require.NoError(t, err)
	runtime.ReadMemStats(&after)
	resp.Close()
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(size/2))
}
