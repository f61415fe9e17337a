// Package load sends a bounded open-loop load from a mix file, measures what
// callers see, and checks the promises against the accounts of the stand-ins.
//
// Arrivals don't wait for answers. A caller sends each request to a random
// entry and, when the connection fails, again to another one; an order keeps its
// order id.
//
// # Usage
//
//	mix, err := load.ReadMix("examples/load/harbwr.yaml")
//	if err != nil {
//		return err
//	}
//	run, err := load.NewRunner(load.Options{Mix: mix}).Run(ctx)
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/report"
	"github.com/cardamomline/cardamomline/internal/standin"
	"github.com/cardamomline/cardamomline/internal/timer"
)

// Options sets up a Runner.
type Options struct {
	Mix    *Mix
	Name   string         // of the run; part of order ids; taken from the clock when empty
	Timer  *timer.Service // NewService when nil
	Client *http.Client   // keeps many connections to each entry when nil
	// Accounts replaces reading the accounts over HTTP, for stand-ins in the same process.
	Accounts func() []standin.Account
}

// Runner runs one mix.
type Runner struct {
	options Options
}

// accountTime bounds the reading of one account.
const accountTime = 10 * time.Second

// NewRunner returns a Runner with defaults filled in.
func NewRunner(o Options) *Runner {
	if o.Timer == nil {
		o.Timer = timer.NewService()
	}
	if o.Name == "" {
		o.Name = strconv.FormatInt(o.Timer.Now().UnixMilli(), 36)
	}
	if o.Client == nil {
		o.Client = newClient(o.Mix.MaxInFlight)
	}
	return &Runner{options: o}
}

func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     time.Minute,
	}}
}

// Run sends the load and returns what it measured. It returns an error only when
// the run can't be made or was interrupted; broken invariants are in the result.
func (r *Runner) Run(ctx context.Context) (*report.Run, error) {
	m := r.options.Mix
	if len(m.Entries) == 0 {
		return nil, &MixError{field: "entries", want: "at least one address"}
	}
	before := r.evidence(ctx, nil, math.MaxUint64).Accounts
	started := r.options.Timer.Now()
	records, notSent, err := r.send(ctx, Schedule(m, r.options.Name))
	if err != nil {
		return nil, err
	}
	run := Summarize(m, records, r.evidence(ctx, before, 0))
	run.Started, run.Seconds, run.NotSent = started, r.options.Timer.Since(started).Seconds(), notSent
	return run, nil
}

// send sends the arrivals at their times and waits for all answers.
func (r *Runner) send(ctx context.Context, arrivals []Arrival) ([]Record, int, error) {
	c := &caller{client: r.options.Client, timer: r.options.Timer, mix: r.options.Mix}
	slots := make(chan struct{}, r.options.Mix.MaxInFlight)
	records := make([]Record, len(arrivals))
	sent := make([]bool, len(arrivals))
	start := r.options.Timer.Now()
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if err := r.options.Timer.Sleep(ctx, a.At-r.options.Timer.Since(start)); err != nil {
			wg.Wait()
			return nil, 0, errors.Wrap(err, "run load")
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		sent[i] = true
		wg.Go(func() {
			records[i] = c.do(ctx, a)
			<-slots
		})
	}
	wg.Wait()
	var kept []Record
	for i := range records {
		if sent[i] {
			kept = append(kept, records[i])
		}
	}
	return kept, len(arrivals) - len(kept), nil
}

// evidence reads all accounts with the attempts from a sequence number on. Only
// the attempts that the accounts before don't have are kept.
func (r *Runner) evidence(ctx context.Context, before []standin.Account, from uint64) Evidence {
	if r.options.Accounts != nil {
		return Evidence{Accounts: since(r.options.Accounts(), before)}
	}
	var all []standin.Account
	missing := 0
	for _, base := range r.options.Mix.Accounts {
		got, err := r.account(ctx, base, from)
		if err != nil {
			missing++
			continue
		}
		all = append(all, got...)
	}
	return Evidence{Accounts: since(all, before), Missing: missing}
}

// account reads one account, or the list that an accounts listener serves.
func (r *Runner) account(ctx context.Context, base string, from uint64) ([]standin.Account, error) {
	ctx, cancel := context.WithTimeout(ctx, accountTime)
	defer cancel()
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	u := fmt.Sprintf("%s/v1/account?from=%d", base, from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build account request")
	}
	// A connection from before the run may have gone silent.
	req.Close = true
	resp, err := r.options.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "read account of %s", base)
	}
	defer resp.Body.Close()
	var raw json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		return nil, errors.Wrapf(err, "decode account of %s", base)
	}
	if len(raw) > 0 && raw[0] == '[' {
		var list []standin.Account
		err = json.Unmarshal(raw, &list)
		return list, wrap(err, "decode accounts of %s", base)
	}
	var one standin.Account
	err = json.Unmarshal(raw, &one)
	return []standin.Account{one}, wrap(err, "decode account of %s", base)
}

// wrap is errors.Wrapf that leaves nil alone.
func wrap(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, fmt.Sprintf(format, args...))
}

// since removes the attempts that the accounts before already have, and the
// records that were dropped before.
func since(all, before []standin.Account) []standin.Account {
	earlier := make(map[string]standin.Account)
	for _, a := range before {
		earlier[a.Name] = a
	}
	for i := range all {
		old, ok := earlier[all[i].Name]
		if !ok || all[i].NextSequence < old.NextSequence {
			continue // new, or restarted with an empty account
		}
		var kept []standin.AttemptRecord
		for _, at := range all[i].Attempts {
			if at.Sequence >= old.NextSequence {
				kept = append(kept, at)
			}
		}
		all[i].Attempts = kept
		all[i].DroppedAttempts = max(0, all[i].DroppedAttempts-int(old.NextSequence))
		all[i].DroppedEffects -= old.DroppedEffects
	}
	return all
}
