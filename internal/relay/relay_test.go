package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// end is one end of a forwarded connection. What arrives is collected in the background.
type end struct {
	net.Conn
	got chan string
	eof chan struct{}
}

func newEnd(c net.Conn) *end {
	e := &end{Conn: c, got: make(chan string, 16), eof: make(chan struct{})}
	go func() {
		defer close(e.eof)
		buf := make([]byte, 64)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			e.got <- string(buf[:n])
		}
	}()
	return e
}

// send writes in the background, because a held connection takes no more.
func (e *end) send(s string) { go func() { _, _ = e.Write([]byte(s)) }() }

// arrived returns what came so far, once nothing moves any more.
func (e *end) arrived() string {
	synctest.Wait()
	var all string
	for len(e.got) > 0 {
		all += <-e.got
	}
	return all
}

func (e *end) ended() bool {
	synctest.Wait()
	select {
	case <-e.eof:
		return true
	default:
		return false
	}
}

// connect returns both ends of a connection that from has opened to to.
func connect(r *Relay, from, to string) (client, server *end) {
	a, b := net.Pipe()
	c, d := net.Pipe()
	forwarded := newConn(r, b, c, from, to)
	r.add(forwarded)
	go forwarded.run()
	return newEnd(a), newEnd(d)
}

func onRelay(t *testing.T, test func(t *testing.T, r *Relay)) {
	synctest.Test(t, func(t *testing.T) {
		r := New(&Config{})
		test(t, r)
		r.closeAll()
	})
}

// Guards against a cut that lets bytes or the end of a connection through, that
// touches the other direction or other processes, or that loses what it held.
func TestCutHoldsOneDirectionUntilTheHeal(t *testing.T) {
	onRelay(t, func(t *testing.T, r *Relay) {
		leader, peer := connect(r, "control-1", "control-2")
		peerOut, leaderIn := connect(r, "control-2", "control-1")
		other, otherPeer := connect(r, "control-3", "control-2")
		require.NoError(t, r.Cut(Pairs{From: []string{"control-1"}, To: []string{"control-*"}}))

		leader.send("late ")
		leaderIn.send("late answer")
		peerOut.send("in")
		other.send("beside")
		require.Empty(t, peer.arrived())
		require.Empty(t, peerOut.arrived())
		require.Equal(t, "in", leaderIn.arrived())
		require.Equal(t, "beside", otherPeer.arrived())
		_ = leader.Close()
		require.False(t, peer.ended(), "the cut let the end of the connection through")

		r.Heal()
		require.Equal(t, "late ", peer.arrived())
		require.True(t, peer.ended())
		require.Equal(t, "late answer", peerOut.arrived())
	})
}

// Guards against silent connections that come back, also after a heal, or that tell
// one end that the other has closed, and against new connections that are silent too.
func TestSilenceIsForGoodAndSparesNewConnections(t *testing.T) {
	onRelay(t, func(t *testing.T, r *Relay) {
		old, oldServer := connect(r, "entry-1", "agent-1")
		held, heldServer := connect(r, "entry-2", "agent-1")
		require.NoError(t, r.Cut(Pairs{From: []string{"entry-2"}, To: []string{"agent-1"}}))
		held.send("held")
		require.Empty(t, heldServer.arrived())
		n, err := r.Silence(Pairs{From: []string{"entry-*"}, To: []string{"agent-*"}})
		require.NoError(t, err)
		require.Equal(t, 2, n)
		r.Heal()

		old.send("lost")
		oldServer.send("lost")
		require.Empty(t, oldServer.arrived())
		require.Empty(t, old.arrived())
		require.Empty(t, heldServer.arrived())
		_ = old.Close()
		require.False(t, oldServer.ended(), "a silent connection told of its end")

		client, server := connect(r, "entry-1", "agent-1")
		client.send("new")
		require.Equal(t, "new", server.arrived())
	})
}

// Guards against links, source addresses and the admin server that don't reach the switches.
func TestRelayOnLoopback(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	c, err := Parse("relay.yaml", []byte("admin: 127.0.0.1:0\nsources: {127.0.0.1: entry-1}\nlinks: [{name: agent-1, listen: 127.0.0.1:0, target: \""+echo.Addr().String()+"\"}]\n"))
	require.NoError(t, err)
	r := New(c)
	require.NoError(t, r.Start(t.Context()))
	defer func() { require.NoError(t, r.Stop(t.Context())) }()

	old := dialLink(t, r)
	for body, want := range map[string]string{
		`{"from": ["entry-2"], "to": ["agent-1"]}`: `{"connections":0}`,
		`{"from": ["entry-1"], "to": ["agent-1"]}`: `{"connections":1}`,
	} {
		resp, err := http.Post("http://"+r.AdminAddress()+"/v1/silence", "application/json", strings.NewReader(body))
		require.NoError(t, err)
		answer, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		_ = resp.Body.Close()
		require.Equal(t, want, strings.TrimSpace(string(answer)))
	}
	require.Equal(t, 1, r.Links()[0].Silent)
	_ = dialLink(t, r).Close()
	_ = old.Close()
	resp, err := http.Post("http://"+r.AdminAddress()+"/v1/cut", "application/json", strings.NewReader(`{"from": ["entry-1"]}`))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
}

// dialLink returns a connection through the link whose bytes have come back once.
func dialLink(t *testing.T, r *Relay) net.Conn {
	c, err := net.Dial("tcp", r.Links()[0].Listen)
	require.NoError(t, err)
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err)
	return c
}
