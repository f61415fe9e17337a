package attempt_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// serve runs the agent side of the data path and returns the outcome at the client.
func serve(ctx context.Context, t *testing.T, handler func(w *attempt.FrameWriter, req *wire.AttemptRequest), onToken func(*wire.Token) error) (end attempt.End) {
	network := standin.NewMemoryNetwork()
	l, err := network.Listen("agent:1")
	require.NoError(t, err)
	quit := make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := attempt.DecodeRequest(r.Body)
		if err != nil {
			return
		}
		rc := http.NewResponseController(w)
		handler(attempt.NewFrameWriter(w, func() { _ = rc.Flush() }), req)
		if req.GetOperation() == "hang" {
			<-quit
		}
	})}
	go func() { _ = srv.Serve(l) }()
	c := attempt.NewClient(attempt.ClientOptions{Timers: timer.NewService(), Dial: func(ctx context.Context, network2, address string) (net.Conn, error) {
		return network.Dial(ctx, network2, address)
	}})
	if isWarmed(ctx) {
		resp, err := c.HTTPClient("agent:1").Get("http://agent:1" + attempt.Path)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	end = c.Do(ctx, "agent:1", &wire.AttemptRequest{Attempt: "a", Request: "r", Operation: operation(ctx)}, onToken)
	close(quit)
	c.Close()
	_ = srv.Close()
	return end
}

type operationKey struct{}

func operation(ctx context.Context) string {
	s, _ := ctx.Value(operationKey{}).(string)
	return s
}

func hanging(ctx context.Context) context.Context {
	return context.WithValue(ctx, operationKey{}, "hang")
}

type warmedKey struct{}

// warmed makes serve use a connection that has carried another call, without an
// attempt ID. It is not an attempt, because the client may close the connection at
// the end of one.
func warmed(ctx context.Context) context.Context {
	return context.WithValue(ctx, warmedKey{}, true)
}

func isWarmed(ctx context.Context) bool { return ctx.Value(warmedKey{}) != nil }

func started(id string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Started{Started: &wire.Started{Attempt: id}}}
}

func result(id, request string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Result{Result: &wire.AttemptResult{Attempt: id, Request: request, Output: []byte("out")}}}
}

// Requirement P1: guards against a result of another attempt or request that
// reaches this caller.
func TestForeignResultsAreDropped(t *testing.T) {
	for _, f := range []*wire.Frame{result("b", "r"), result("a", "other")} {
		synctest.Test(t, func(t *testing.T) {
			end := serve(t.Context(), t, func(w *attempt.FrameWriter, _ *wire.AttemptRequest) {
				_ = w.Write(started("a"))
				_ = w.Write(f)
			}, nil)
			lost, ok := end.(*attempt.Lost)
			require.True(t, ok, "%T", end)
			var foreign *attempt.MismatchError
			require.ErrorAs(t, lost.Err(), &foreign)
		})
	}
}

// Guards against waiting for an unresponsive connection, and against mistaking a
// slow target for an unresponsive connection.
func TestSilenceIsToldFromSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		end := serve(hanging(t.Context()), t, func(w *attempt.FrameWriter, _ *wire.AttemptRequest) { _ = w.Write(started("a")) }, nil)
		lost, ok := end.(*attempt.Lost)
		require.True(t, ok, "%T", end)
		require.True(t, lost.Unresponsive())
		require.True(t, lost.Started())
		require.Equal(t, attempt.FrameTimeout, time.Since(began))
	})
	synctest.Test(t, func(t *testing.T) {
		end := serve(t.Context(), t, func(w *attempt.FrameWriter, _ *wire.AttemptRequest) {
			for range 40 {
				_ = w.Write(&wire.Frame{Kind: &wire.Frame_KeepAlive{KeepAlive: &wire.KeepAlive{}}})
				time.Sleep(attempt.KeepAlivePeriod)
			}
			_ = w.Write(result("a", "r"))
		}, nil)
		require.IsType(t, &attempt.Finished{}, end)
	})
}

// Guards against an attempt that exceeds a lookup's deadline on a connection that
// became unresponsive while it was idle, and against mistaking a slow agent on a
// new connection, or a slow target, for such a connection.
func TestIdleConnectionGoneSilentIsRetiredEarly(t *testing.T) {
	const lookup = 500 * time.Millisecond
	run := func(ctx context.Context, first, rest time.Duration) (end attempt.End, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			began := time.Now()
			end = serve(ctx, t, func(w *attempt.FrameWriter, req *wire.AttemptRequest) {
				if req.GetAttempt() == "" {
					return
				}
				time.Sleep(first)
				_ = w.Write(started("a"))
				time.Sleep(rest)
				_ = w.Write(result("a", "r"))
			}, nil)
			took = time.Since(began)
			time.Sleep(first + rest) // until the handler has ended
		})
		return end, took
	}
	end, took := run(warmed(context.Background()), time.Minute, 0)
	require.IsType(t, &attempt.Lost{}, end)
	require.True(t, end.(*attempt.Lost).Unresponsive())
	require.LessOrEqual(t, took, lookup/2)

	end, _ = run(warmed(context.Background()), 0, lookup)
	require.IsType(t, &attempt.Finished{}, end)
	end, _ = run(context.Background(), lookup, 0)
	require.IsType(t, &attempt.Finished{}, end)
}

// Requirement P3: guards against counting a truncated response as not sent.
func TestBrokenAnswerMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		end := serve(t.Context(), t, func(w *attempt.FrameWriter, _ *wire.AttemptRequest) { _ = w.Write(started("a")) }, nil)
		require.IsType(t, &attempt.Lost{}, end)
	})
}
