// Package relay forwards TCP connections between processes and cuts them off from
// each other without closing a connection, as a failing network does.
//
// A link listens on an address of its own and forwards to one process, which
// announces the link's address in place of its own. The name of a link is that of
// the process behind it; the process that opened a connection is told by its source
// address. A cut holds bytes back and delivers them after the heal, as a network
// that sends lost packets again. A silent connection loses everything for good and
// never closes. Unlike a network, a relay accepts new connections during a cut.
//
// # Usage
//
//	r := relay.New(config)
//	k.Register("relay", r)
//	curl -d '{"from": ["control-1"], "to": ["control-*"]}' http://127.0.0.1:9100/v1/cut
package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"path"
	"slices"
	"sync"

	"github.com/go-faster/errors"
)

// maxCall bounds the body of a call to the admin server, in bytes.
const maxCall = 64 << 10

// Pairs selects directions between processes by their names. A name may be a
// pattern of path.Match, such as agent-*.
type Pairs struct {
	From []string `json:"from"`
	To   []string `json:"to"`
}

func (p Pairs) check() error {
	for _, pattern := range slices.Concat(p.From, p.To) {
		if _, err := path.Match(pattern, ""); err != nil {
			return errors.Wrapf(err, "pattern %q", pattern)
		}
	}
	if len(p.From) == 0 || len(p.To) == 0 {
		return errors.New("from and to need at least one name each")
	}
	return nil
}

func (p Pairs) match(from, to string) bool {
	return matchAny(p.From, from) && matchAny(p.To, to)
}

func matchAny(patterns []string, name string) bool {
	return slices.ContainsFunc(patterns, func(pattern string) bool {
		ok, _ := path.Match(pattern, name)
		return ok
	})
}

// LinkStatus is one link in the answer of GET /v1/links.
type LinkStatus struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Open   int    `json:"open"`   // connections, silent ones included
	Silent int    `json:"silent"` // connections
}

// Relay forwards the connections of its links. It is safe for concurrent use.
type Relay struct {
	config    *Config
	admin     *http.Server
	adminAddr string
	wg        sync.WaitGroup
	done      chan struct{}

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[*conn]struct{}
	cuts      []Pairs
	changed   chan struct{} // closed when cuts changes
	stopped   bool
}

// New returns a Relay that Start lets listen.
func New(c *Config) *Relay {
	r := &Relay{config: c, done: make(chan struct{}), conns: make(map[*conn]struct{}), changed: make(chan struct{})}
	r.admin = &http.Server{Handler: r.Handler()}
	return r
}

// Start implements kernel.Starter. It returns once all links accept connections.
func (r *Relay) Start(ctx context.Context) error {
	var lc net.ListenConfig
	for _, l := range r.config.Links {
		listener, err := lc.Listen(ctx, "tcp", l.Listen)
		if err != nil {
			r.closeAll()
			return errors.Wrapf(err, "link %s", l.Name)
		}
		r.listeners = append(r.listeners, listener)
		r.wg.Go(func() { r.accept(listener, l) })
	}
	admin, err := lc.Listen(ctx, "tcp", r.config.Admin)
	if err != nil {
		r.closeAll()
		return errors.Wrap(err, "relay admin")
	}
	r.adminAddr = admin.Addr().String()
	r.wg.Go(func() { _ = r.admin.Serve(admin) })
	return nil
}

// AdminAddress returns the address of the admin server, once started.
func (r *Relay) AdminAddress() string { return r.adminAddr }

// Stop implements kernel.Stopper. It closes all connections.
func (r *Relay) Stop(context.Context) error {
	r.closeAll()
	r.wg.Wait()
	close(r.done)
	return nil
}

// Done implements kernel.Stopper.
func (r *Relay) Done() <-chan struct{} { return r.done }

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	_ = r.admin.Close()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) accept(listener net.Listener, l Link) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.forward(client, l) })
	}
}

// forward carries one connection until both directions have ended.
func (r *Relay) forward(client net.Conn, l Link) {
	server, err := (&net.Dialer{Timeout: dialTimeout}).Dial("tcp", l.Target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := newConn(r, client, server, r.config.source(client.RemoteAddr()), l.Name)
	if !r.add(c) {
		c.close()
		return
	}
	defer r.remove(c)
	c.run()
}

func (r *Relay) add(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.stopped {
		r.conns[c] = struct{}{}
	}
	return !r.stopped
}

func (r *Relay) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// Cut holds back the bytes from one side to the other until Heal.
func (r *Relay) Cut(p Pairs) error {
	if err := p.check(); err != nil {
		return err
	}
	r.setCuts(func(cuts []Pairs) []Pairs { return append(cuts, p) })
	return nil
}

// Heal ends all cuts. What was held back is delivered.
func (r *Relay) Heal() {
	r.setCuts(func([]Pairs) []Pairs { return nil })
}

func (r *Relay) setCuts(change func([]Pairs) []Pairs) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = change(r.cuts)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Silence makes the connections that are open now, from one side to the other,
// lose everything in both directions for good. It returns their number.
func (r *Relay) Silence(p Pairs) (int, error) {
	if err := p.check(); err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for c := range r.conns {
		if p.match(c.from, c.to) && !c.isSilent() {
			close(c.silent)
			n++
		}
	}
	return n, nil
}

// hold returns a channel that is closed at the next change when bytes from one
// process to another are held back, and nil when they pass.
func (r *Relay) hold(from, to string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.cuts {
		if p.match(from, to) {
			return r.changed
		}
	}
	return nil
}

// Links returns the links and their connections.
func (r *Relay) Links() []LinkStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]LinkStatus, 0, len(r.config.Links))
	for i, l := range r.config.Links {
		s := LinkStatus{Name: l.Name, Listen: l.Listen}
		if i < len(r.listeners) {
			s.Listen = r.listeners[i].Addr().String()
		}
		for c := range r.conns {
			if c.to != l.Name {
				continue
			}
			s.Open++
			if c.isSilent() {
				s.Silent++
			}
		}
		all = append(all, s)
	}
	return all
}

// silenced is the answer of POST /v1/silence.
type silenced struct {
	Connections int `json:"connections"`
}

// Handler returns the handler of the admin server.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/links", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Links()) })
	mux.HandleFunc("POST /v1/heal", func(w http.ResponseWriter, _ *http.Request) {
		r.Heal()
		writeJSON(w, struct{}{})
	})
	mux.HandleFunc("POST /v1/cut", pairsHandler(func(p Pairs) (any, error) { return struct{}{}, r.Cut(p) }))
	mux.HandleFunc("POST /v1/silence", pairsHandler(func(p Pairs) (any, error) {
		n, err := r.Silence(p)
		return silenced{Connections: n}, err
	}))
	return mux
}

func pairsHandler(do func(Pairs) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var p Pairs
		d := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxCall))
		d.DisallowUnknownFields()
		if err := d.Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := do(p)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, answer)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
