// Package report renders what a load run measured: tables for people, JSON for
// programs, a page on cost for managers, a comparison of two runs and a plot.
//
// # Usage
//
//	run, err := report.Read("run.json")
//	if err != nil {
//		return err
//	}
//	report.Table(os.Stdout, run)
package report

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"
)

// Run is everything that one load run measured. Times are in milliseconds.
type Run struct {
	Name       string        `json:"name"`
	Started    time.Time     `json:"started"`
	Seconds    float64       `json:"seconds"`
	Seed       uint64        `json:"seed"`
	Sent       int           `json:"sent"`
	NotSent    int           `json:"not_sent"` // beyond the bound on requests in flight
	Retries    int           `json:"retries"`  // at another entry after a failed connection
	Attainment []Attainment  `json:"attainment"`
	Latency    []Latency     `json:"latency"`
	FirstToken []Latency     `json:"first_token"`
	TokenGap   []Latency     `json:"token_gap"`
	Stages     []StageCost   `json:"stages"`
	Refusals   []Refusal     `json:"refusals"`
	Checked    Checked       `json:"checked"`
	Violations []Violation   `json:"violations"`
	Notes      []Observation `json:"notes"`
	JainIndex  float64       `json:"jain_index"` // over the attainment of customers of equal weight
}

// Attainment is the share of a group's requests that were fully answered within
// their deadline.
type Attainment struct {
	Group    string  `json:"group"` // all, class, customer or request
	Name     string  `json:"name"`
	Sent     int     `json:"sent"`
	Attained int     `json:"attained"`
	Late     int     `json:"late"` // complete, but after the deadline
	Share    float64 `json:"share"`
}

// Latency summarises a histogram.
type Latency struct {
	Group string  `json:"group"`
	Name  string  `json:"name"`
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// StageCost is what one operation of one service cost for one customer.
type StageCost struct {
	Service   string  `json:"service"`
	Operation string  `json:"operation"`
	Customer  string  `json:"customer"`
	Attempts  int     `json:"attempts"`
	Finished  int     `json:"finished"`
	Canceled  int     `json:"canceled"`
	Failed    int     `json:"failed"`
	BusyMS    float64 `json:"busy_ms"`
	UnusedMS  float64 `json:"unused_ms"` // part of BusyMS spent on results that no caller used
	Tokens    int     `json:"tokens"`
}

// Refusal counts the answers with one outcome and reason.
type Refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Count   int    `json:"count"`
	Example string `json:"example"` // detail of one of them
}

// Checked says how much the invariant check has seen, so that a check without
// material isn't mistaken for a pass.
type Checked struct {
	Answers         int  `json:"answers"`
	Orders          int  `json:"orders"`
	Accounts        int  `json:"accounts"`
	MissingAccounts int  `json:"missing_accounts"`
	Effects         int  `json:"effects"`
	Attempts        int  `json:"attempts"`
	Dropped         int  `json:"dropped"`  // account records beyond the bound on memory
	Complete        bool `json:"complete"` // every account was read and none has dropped records
}

// Kinds of violations.
const (
	KindLost         = "lost"
	KindDoubled      = "doubled"
	KindMisdelivered = "misdelivered"
	KindUntrueNotRun = "untrue_not_run"
	KindCut          = "cut"
)

// Violation is one broken invariant of one request.
type Violation struct {
	Kind    string `json:"kind"`
	Request string `json:"request"` // name in the mix and number
	ID      string `json:"request_id,omitempty"`
	Order   string `json:"order_id,omitempty"`
	Detail  string `json:"detail"`
}

// Observation is something to look at that breaks no invariant.
type Observation struct {
	Kind   string `json:"kind"`
	Count  int    `json:"count"`
	Detail string `json:"detail"`
}

// BusyMS returns the busy time of all stages.
func (r *Run) BusyMS() float64 {
	sum := 0.0
	for _, s := range r.Stages {
		sum += s.BusyMS
	}
	return sum
}

// UnusedShare returns the share of the busy time that was spent on results that
// no caller used, 0 when nothing was spent.
func (r *Run) UnusedShare() float64 {
	busy, unused := r.BusyMS(), 0.0
	for _, s := range r.Stages {
		unused += s.UnusedMS
	}
	if busy == 0 {
		return 0
	}
	return unused / busy
}

// Count returns the number of violations of a kind.
func (r *Run) Count(kind string) int {
	n := 0
	for _, v := range r.Violations {
		if v.Kind == kind {
			n++
		}
	}
	return n
}

// Write writes the run as JSON to a file.
func (r *Run) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode run")
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "write run")
	}
	return nil
}

// Read reads a run from a JSON file.
func Read(path string) (*Run, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read run")
	}
	var r Run
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	return &r, nil
}
