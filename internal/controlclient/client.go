// Package controlclient implements the client for the control VMs.
//
// A call goes to one control VM and fails over to the next one if that VM doesn't respond
// or has no leader. All commands are safe to resend: the replicated state machine
// recognizes a repeated claim, change ID, submission or epoch.
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
	// callTimeout limits one attempt at one control VM. A commit takes up to about 100 ms
	// under load, and an unresponsive VM must leave time for the others within an order's
	// claim.
	callTimeout         = 500 * time.Millisecond
	dialTimeout         = 400 * time.Millisecond
	retryDelay          = 50 * time.Millisecond
	heartbeatTimeout    = 800 * time.Millisecond
	pollTimeoutMargin   = 2 * time.Second
	maxIdleConnsPerHost = 128
)

// UnavailableError reports that no control VM completed a call in time. A command may still
// be committed later.
type UnavailableError struct {
	call    string
	lastErr error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: no control VM responded: %v", e.call, e.lastErr)
}

// Unwrap returns the last error.
func (e *UnavailableError) Unwrap() error { return e.lastErr }

// Options configures a Client.
type Options struct {
	// Timers is the timer service; required.
	Timers *timer.Service
	// Addresses are the control VMs as IP:port; at least one is required.
	Addresses []string
	// Process is the name of this process, as shown in the control VMs' status.
	Process string
	// Dial replaces the network dialer, for example to choose the source address.
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
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			DisableCompression:  true,
		}}
	}
	return nil
}

// Client calls the control VMs. It is safe for concurrent use.
type Client struct {
	o        Options
	controls []wire.Control
	// preferred is the index of the control VM that responded last.
	preferred atomic.Int64
}

// New returns a Client. It returns an error when a required option is missing.
func New(o Options) (*Client, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	c := &Client{o: o}
	for _, a := range o.Addresses {
		c.controls = append(c.controls, wire.NewControlProtobufClient("http://"+a, o.HTTP))
	}
	// Processes start with different control VMs to distribute the load.
	c.preferred.Store(int64(xxhash.Sum64String(o.Process) % uint64(len(c.controls))))
	return c, nil
}

// Execute commits a command and returns the state machine's result. The context limits all
// attempts together. After an *UnavailableError the command may still be committed.
func (c *Client) Execute(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	req := &wire.ExecuteRequest{Command: cmd, Sender: c.o.Process}
	resp, err := retry(ctx, c, "execute", callTimeout, func(ctx context.Context, s wire.Control) (*wire.ExecuteResponse, error) {
		return s.Execute(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	return resp.GetResult(), nil
}

// Query performs a read that is confirmed by a quorum.
func (c *Client) Query(ctx context.Context, q *wire.QueryRequest) (*wire.QueryResponse, error) {
	return retry(ctx, c, "query", callTimeout, func(ctx context.Context, s wire.Control) (*wire.QueryResponse, error) {
		return s.Query(ctx, q)
	})
}

// Heartbeat announces this process, with at most one attempt per control VM. It fails over
// from a control VM that is disconnected from the quorum, because the other control VMs
// would treat a process that announces itself only there as unresponsive.
func (c *Client) Heartbeat(ctx context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
	return confirmed(ctx, c, "heartbeat", heartbeatTimeout, func(ctx context.Context, s wire.Control) (*wire.HeartbeatResponse, error) {
		return s.Heartbeat(ctx, r)
	})
}

// Roster long-polls for roster changes.
func (c *Client) Roster(ctx context.Context, r *wire.RosterRequest) (*wire.RosterResponse, error) {
	wait := time.Duration(r.GetWaitMs())*time.Millisecond + pollTimeoutMargin
	return once(ctx, c, "roster", wait, func(ctx context.Context, s wire.Control) (*wire.RosterResponse, error) {
		return s.Roster(ctx, r)
	})
}

// Config long-polls for a newer configuration. It fails over from a control VM that is
// disconnected from the quorum.
func (c *Client) Config(ctx context.Context, r *wire.ConfigRequest) (*wire.ConfigResponse, error) {
	wait := time.Duration(r.GetWaitMs())*time.Millisecond + pollTimeoutMargin
	return confirmed(ctx, c, "config", wait, func(ctx context.Context, s wire.Control) (*wire.ConfigResponse, error) {
		return s.Config(ctx, r)
	})
}

// RemoveMember removes a failed control VM from the member list. A call that is resent
// because its response was lost is rejected as an unknown member.
func (c *Client) RemoveMember(ctx context.Context, id string) (*wire.RemoveMemberResponse, error) {
	return retry(ctx, c, "remove member", callTimeout, func(ctx context.Context, s wire.Control) (*wire.RemoveMemberResponse, error) {
		return s.RemoveMember(ctx, &wire.RemoveMemberRequest{MemberId: id})
	})
}

// StatusAll returns the status reported by each control VM, in the order of the addresses,
// with nil for a VM that didn't respond.
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

// PreferNext makes the next call start at another control VM, for example because the
// current one is not connected to a quorum.
func (c *Client) PreferNext() {
	c.preferred.Store((c.preferred.Load() + 1) % int64(len(c.controls)))
}

// Addresses returns the addresses of the control VMs.
func (c *Client) Addresses() []string {
	return append([]string(nil), c.o.Addresses...)
}

type call[T any] func(ctx context.Context, s wire.Control) (T, error)

// once attempts the call at most once per control VM, starting with the preferred one.
func once[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	return first(ctx, c, name, timeout, do, func(T) bool { return true })
}

// confirmable is a response that reports whether its control VM is connected to a quorum.
type confirmable interface{ GetConfirmed() bool }

// confirmed is like once, but returns an unconfirmed response only if no control VM returns
// a confirmed one.
func confirmed[T confirmable](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	return first(ctx, c, name, timeout, do, T.GetConfirmed)
}

// first returns the first accepted response, or the last response if none is accepted.
func first[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T], accept func(T) bool) (T, error) {
	var fallback T
	var last error
	responded := false
	start := int(c.preferred.Load())
	for i := range c.controls {
		n := (start + i) % len(c.controls)
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		resp, err := do(callCtx, c.controls[n])
		cancel()
		if err == nil && accept(resp) {
			c.preferred.Store(int64(n))
			return resp, nil
		}
		if err == nil {
			fallback, responded = resp, true
		} else {
			last = errors.Wrapf(err, "control VM %s", c.o.Addresses[n])
		}
		if ctx.Err() != nil {
			break
		}
	}
	if responded {
		return fallback, nil
	}
	return fallback, &UnavailableError{call: name, lastErr: last}
}

// retry repeats the call at all control VMs until the context ends.
func retry[T any](ctx context.Context, c *Client, name string, timeout time.Duration, do call[T]) (T, error) {
	for {
		resp, err := once(ctx, c, name, timeout, do)
		if err == nil {
			return resp, nil
		}
		if c.o.Timers.Sleep(ctx, retryDelay) != nil {
			return resp, err
		}
	}
}
