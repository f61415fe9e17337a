package capacity

import (
	"context"
	"io"
	"net"

	"github.com/go-faster/errors"
)

// relay passes connections on to an address and counts their bytes, so that the
// traffic of a process can be told from that of all others.
type relay struct {
	counter
	listener net.Listener
	to       string
}

func newRelay(ctx context.Context, to string) (*relay, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	r := &relay{listener: l, to: to}
	go r.serve(ctx)
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) close() { _ = r.listener.Close() }

func (r *relay) serve(ctx context.Context) {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(ctx, from)
	}
}

func (r *relay) pass(ctx context.Context, from net.Conn) {
	defer func() { _ = from.Close() }()
	to, err := r.dial(ctx, "tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
}
