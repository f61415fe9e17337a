// Package controlclient reaches the control VMs from every other process.
//
// A call goes to one control VM and moves on to the next when that one does not
// answer or has no leader. All commands are safe to resend: the replicated state
// machine recognises a repeated claim, change id, submission or epoch.
//
// # Usage
//
//	c, err := controlclient.New(controlclient.Options{Timers: ts, Addresses: addrs, Process: "entry-1"})
//	result, err := c.Execute(ctx, &wire.Command{...})
//	var unavailable *controlclient.UnavailableError
//	if errors.As(err, &unavailable) { ... }
package controlclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/timer"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	// callTimeout is the time for one try at one control VM. A commit takes up to
	// about 100 ms under load, and a frozen VM must leave time for the others
	// within an order's claim.
	callTimeout   = 500 * time.Millisecond
	dialTimeout   = 400 * time.Millisecond
	retryPause    = 50 * time.Millisecond
	heartbeatTime = 800 * time.Millisecond
	pollSlack     = 2 * time.Second
	idlePerHost   = 128
)

// UnavailableError reports that no control VM carried out a call in time. A
// command may still be committed later.
type UnavailableError struct {
	call string
	last error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: no control VM answered: %v", e.call, e.last)
}

// Unwrap returns the last answer or failure.
func (e *UnavailableError) Unwrap() error { return e.last }

// Options holds what a Client needs.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Addresses are the control VMs as IP:port; at least one.
	Addresses []string
	// Process is the name of this process, for the control VMs' status.
	Process string
	// Dial replaces the network dialer, for instance to choose the source address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP replaces the HTTP client in tests.
	HTTP *http.Client
}

func (o *Options) check() error {
	if o.Timers == nil {
		return errors.New("control client: timer service is missing")
	}
	if len(o.Addresses) == 0 {
		return errors.New("control client: no address of a control VM")
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.HTTP == nil {
		o.HTTP = &http.Client{Transport: &http.Transport{
			DialContext:         o.Dial,
			MaxIdleConnsPerHost: idlePerHost,
			DisableCompression:  true,
		}}
	}
	return nil
}

// Client calls the control VMs. It is safe for concurrent use.
type Client struct {
	o        Options
	controls []wire.Control
	// preferred is the index of the control VM that answered last.
	preferred atomic.Int64
}

// New returns a Client, or an error that names the missing option.
func New(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	c := &Client{o: o}
	for _, a := range o.Addresses {
		c.controls = append(c.controls, wire.NewControlProtobufClient("http://"+a, o.HTTP))
	}
	// Processes begin with different control VMs, so that none hears of all.
	c.preferred.Store(int64(xxhash.Sum64String(o.Process) % uint64(len(c.controls))))
	return c, nil
}

// Execute commits a command and returns the state machine's answer. The context
// bounds all tries; on *UnavailableError the command may still be committed.
func (c *Client) Execute(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	req := &wire.ExecuteRequest{Command: cmd, Sender: c.o.Process}
	resp, err := try(ctx, c, "execute", callTimeout, func(ctx context.Context, s wire.Control) (*wire.ExecuteResponse, error) {
		return s.Execute(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	return resp.GetResult(), nil
}

// Query answers a read that a quorum confirmed.
func (c *Client) Query(ctx context.Context, q *wire.QueryRequest) (*wire.QueryResponse, error) {
	return try(ctx, c, "query", callTimeout, func(ctx context.Context, s wire.Control) (*wire.QueryResponse, error) {
		return s.Query(ctx, q)
	})
}

// Heartbeat announces this process; it gives up after one try at each control VM.
// It goes on past a control VM that is cut off from the quorum, because the others
// would take a process that announces itself only there for silent.
func (c *Client) Heartbeat(ctx context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return confirmed(ctx, c, "heartbeat", heartbeatTime, func(ctx context.Context, s wire.Control) (*wire.HeartbeatResponse, error) {
		return s.Heartbeat(ctx, r)
	})
}

// Roster long-polls the changes of the roster.
func (c *Client) Roster(ctx context.Context, r *wire.RosterRequest) (*wire.RosterResponse, error) {
	wait := time.Duration(r.GetWaitMs())*time.Millisecond + pollSlack
	return once(ctx, c, "roster", wait, func(ctx context.Context, s wire.Control) (*wire.RosterResponse, error) {
		return s.Roster(ctx, r)
	})
}

// Config long-polls a newer configuration. It goes on past a control VM that is cut
// off from the quorum.
func (c *Client) Config(ctx context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	wait := time.Duration(r.GetWaitMs())*time.Millisecond + pollSlack
	return confirmed(ctx, c, "config", wait, func(ctx context.Context, s wire.Control) (*wire.ConfigResponse, error) {
		return s.Config(ctx, r)
	})
}

// RemoveMember removes a control VM that is gone from the member list. A call that
// is sent again because its answer was lost is refused as an unknown member.
func (c *Client) RemoveMember(ctx context.Context, id string) (*wire.RemoveMemberResponse, error) {
	return try(ctx, c, "remove member", callTimeout, func(ctx context.Context, s wire.Control) (*wire.RemoveMemberResponse, error) {
		return s.RemoveMember(ctx, &wire.RemoveMemberRequest{MemberId: id})
	})
}

// StatusAll asks every control VM for its own view; the slice holds a nil for
// one that did not answer, in the order of the addresses.
func (c *Client) StatusAll(ctx context.Context) []*wire.StatusResponse {
	all := make([]*wire.StatusResponse, len(c.controls))
	for i, s := range c.controls {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := s.Status(callCtx, &wire.StatusRequest{})
		cancel()
		if err == nil {
			all[i] = resp
		}
	}
	return all
}

// PreferNext begins the next call at another control VM, for instance because the
// last one is not in touch with a quorum.
func (c *Client) PreferNext() {
	c.preferred.Store((c.preferred.Load() + 1) % int64(len(c.controls)))
}

// Addresses returns the control VMs that this client knows.
func (c *Client) Addresses() []string {
	return append([]string(nil), c.o.Addresses...)
}

type call[T any] func(ctx context.Context, s wire.Control) (T, error)

// once tries each control VM at most once, beginning with the preferred one.
func once[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	return first(ctx, c, name, timeout, do, func(T) bool { return true })
}

// confirmable is an answer that says whether its control VM is in touch with a quorum.
type confirmable interface{ GetConfirmed() bool }

// confirmed is once, but an unconfirmed answer counts only when no control VM gives
// a confirmed one.
func confirmed[T confirmable](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	return first(ctx, c, name, timeout, do, T.GetConfirmed)
}

// first returns the first answer that will do, else the last one.
func first[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T], willDo func(T) bool) (T, error) {
	var fallback T
	var last error
	answered := false
	begin := int(c.preferred.Load())
	for i := range c.controls {
		n := (begin + i) % len(c.controls)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		resp, err := do(callCtx, c.controls[n])
		cancel()
		if err == nil && willDo(resp) {
			c.preferred.Store(int64(n))
			return resp, nil
		}
		if err == nil {
			fallback, answered = resp, true
		} else {
			last = errors.Wrapf(err, "control VM %s", c.o.Addresses[n])
		}
		if ctx.Err() != nil {
			break
		}
	}
	if answered {
		return fallback, nil
	}
	return fallback, &UnavailableError{call: name, last: last}
}

// try goes round the control VMs until the context ends.
func try[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	for {
		resp, err := once(ctx, c, name, timeout, do)
		if err == nil {
			return resp, nil
		}
		if c.o.Timers.Sleep(ctx, retryPause) != nil {
			return resp, err
		}
	}
}
