package attempt_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cardamomline/cardamomline/internal/attempt"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

// agents is a client with in-memory agents that return the result of an attempt
// immediately and end the response after a delay. An attempt of the operation "hang"
// gets no frame.
type agents struct {
	t       *testing.T
	network *standin.MemoryNetwork
	client  *attempt.Client
	dials   atomic.Int64
	quit    chan struct{}
	servers []*http.Server
}

func newAgents(t *testing.T, addresses ...string) *agents {
	a := &agents{t: t, network: standin.NewMemoryNetwork(), quit: make(chan struct{})}
	a.client = attempt.NewClient(attempt.ClientOptions{Timers: timer.NewService(), Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		a.dials.Add(1)
		return a.network.Dial(ctx, network, address)
	}})
	for _, address := range addresses {
		l, err := a.network.Listen(address)
		require.NoError(t, err)
		srv := &http.Server{Handler: http.HandlerFunc(a.answer)}
		go func() { _ = srv.Serve(l) }()
		a.servers = append(a.servers, srv)
	}
	return a
}

func (a *agents) answer(w http.ResponseWriter, r *http.Request) {
	req, err := attempt.DecodeRequest(r.Body)
	if err != nil {
		return
	}
	if req.GetOperation() == "hang" {
		<-a.quit
		return
	}
	rc := http.NewResponseController(w)
	_ = attempt.NewFrameWriter(w, func() { _ = rc.Flush() }).Write(result("a", "r"))
	time.Sleep(5 * time.Millisecond)
}

func (a *agents) do(address, operation string) attempt.End {
	ctx, cancel := context.WithTimeout(a.t.Context(), 2*time.Second)
	defer cancel()
	return a.client.Do(ctx, address, &wire.AttemptRequest{Attempt: "a", Request: "r", Operation: operation}, nil)
}

func (a *agents) stop() {
	close(a.quit)
	a.client.Close()
	for _, s := range a.servers {
		_ = s.Close()
	}
}

// Guards against a connection that is closed after each attempt because its
// response ends shortly after the result.
func TestConnectionIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgents(t, "agent:1")
		defer a.stop()
		for range 10 {
			require.IsType(t, &attempt.Finished{}, a.do("agent:1", "look"))
			time.Sleep(20 * time.Millisecond)
		}
		require.EqualValues(t, 1, a.dials.Load())
	})
}

// Guards against a lookup that uses one unresponsive idle connection after another:
// the cause of one has most likely dropped those to other agents as well.
func TestSilenceRetiresIdleConnectionsToAllAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAgents(t, "agent:1", "agent:2")
		defer a.stop()
		for _, address := range []string{"agent:1", "agent:2"} {
			require.IsType(t, &attempt.Finished{}, a.do(address, "look"))
			time.Sleep(20 * time.Millisecond)
		}
		require.IsType(t, &attempt.Lost{}, a.do("agent:1", "hang"))
		require.EqualValues(t, 2, a.dials.Load())
		require.IsType(t, &attempt.Finished{}, a.do("agent:2", "look"))
		require.EqualValues(t, 3, a.dials.Load(), "the idle connection to the other agent was used")
		time.Sleep(20 * time.Millisecond)
	})
}
