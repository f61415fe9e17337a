package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/timer"
)

// Outcomes of an Answer, and the outcome of a request that a bad_request or
// not_found error answers.
const (
	OutcomeDone     = "done"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	OutcomeFailed   = "failed"
	OutcomeAccepted = "accepted"
	OutcomeRefused  = "refused"
)

// StageReport is what one stage of a request cost.
type StageReport struct {
	Stage    string  `json:"stage"`
	Target   string  `json:"target"`
	Millis   float64 `json:"millis"`
	Attempts int     `json:"attempts"`
}

// Answer is the answer of the caller API.
type Answer struct {
	RequestID string        `json:"request_id"`
	Outcome   string        `json:"outcome"`
	Reason    string        `json:"reason"`
	Detail    string        `json:"detail"`
	Output    string        `json:"output"`
	Tokens    int           `json:"tokens"`
	OrderID   string        `json:"order_id"`
	Repeated  bool          `json:"repeated"`
	Revision  uint64        `json:"revision"`
	Stages    []StageReport `json:"stages"`
}

// streamEvent is one server-sent event of a streamed request.
type streamEvent struct {
	Event  string  `json:"event"`
	Offset int     `json:"offset"`
	Text   string  `json:"text"`
	Answer *Answer `json:"answer"`
}

// Record is what became of one arrival.
type Record struct {
	Arrival    Arrival
	Sent       time.Time
	Answered   time.Time // zero without an answer
	Answer     *Answer   // the last answer, nil without one
	Retries    int       // calls after the first one
	LastError  string    // of the last call that failed
	Accepted   time.Time // when a waiting request was accepted
	FirstToken time.Time
	Gaps       []time.Duration // between the tokens of a stream
	Stream     string          // the tokens of a stream, joined
	StreamGap  string          // what was wrong with the offsets of a stream
	Foreign    *Answer         // what another customer got who asked for a waiting request
	unanswered bool            // a call was sent whose answer never came
}

// Latency returns the time from the first call to the answer.
func (r *Record) Latency() time.Duration { return r.Answered.Sub(r.Sent) }

// caller sends requests as a customer's program does: to any entry, and to
// another one when a connection fails.
type caller struct {
	client *http.Client
	timer  *timer.Service
	mix    *Mix
}

const (
	retryPause   = 50 * time.Millisecond // between calls of one request
	fetchPause   = 200 * time.Millisecond
	maxFetchWait = 500 * time.Millisecond // also the resolution of a waiting request's latency
	// submitTime bounds one call that submits a waiting request. Its deadline is
	// the time for the answer, far longer than an entry needs to record it.
	submitTime = 5 * time.Second
	maxAnswer  = 16 << 20 // bytes
)

// connectionError reports a call without an answer. Another entry may be asked.
type connectionError struct {
	cause string
}

// Error implements error.
func (e *connectionError) Error() string { return e.cause }

// unavailableError reports an entry that takes no requests now. Nothing was done.
type unavailableError struct {
	detail string
}

// Error implements error.
func (e *unavailableError) Error() string { return reasonUnavailable + ": " + e.detail }

const reasonUnavailable = "unavailable"

// do sends one arrival until it is answered or its deadline and the grace have passed.
func (c *caller) do(ctx context.Context, a Arrival) Record {
	r := Record{Arrival: a, Sent: c.timer.Now()}
	random := rand.New(rand.NewPCG(c.mix.Seed, uint64(a.Index)))
	limit, cancel := context.WithTimeout(ctx, a.Request.Deadline+c.mix.Grace)
	defer cancel()
	c.try(limit, random, &r, func(entry string) (*Answer, error) {
		call, cancel := context.WithTimeout(limit, c.callTime(&r))
		defer cancel()
		return c.send(call, entry, &r)
	})
	if a.Request.Kind == KindWaiting && r.Answer != nil && r.Answer.Outcome == OutcomeAccepted {
		r.Accepted = r.Answered
		c.collect(ctx, random, &r)
		c.askAsStranger(ctx, random, &r)
	}
	return r
}

// try calls entries in turn, from a random one, until one answers.
func (c *caller) try(ctx context.Context, random *rand.Rand, r *Record, call func(entry string) (*Answer, error)) {
	at := random.IntN(len(c.mix.Entries))
	for {
		answer, err := call(c.mix.Entries[at])
		if err == nil {
			r.Answer, r.Answered = answer, c.timer.Now()
			return
		}
		r.LastError = err.Error()
		r.refused(err)
		// A call that the limit would cut off at once only turns a refusal into a loss.
		limit, _ := ctx.Deadline()
		if limit.Sub(c.timer.Now()) <= 2*retryPause || c.timer.Sleep(ctx, retryPause) != nil {
			return
		}
		r.Retries++
		at = (at + 1) % len(c.mix.Entries)
	}
}

// refused keeps the refusal of an entry that takes no requests, as the answer in
// case that no entry gives another one. It is forgotten when a later call ends
// without an answer, because that call may have run.
func (r *Record) refused(err error) {
	var unavailable *unavailableError
	r.Answer, r.Answered = nil, time.Time{}
	if errors.As(err, &unavailable) && !r.unanswered {
		r.Answer = &Answer{Outcome: OutcomeRefused, Reason: reasonUnavailable, Detail: unavailable.detail}
		return
	}
	r.unanswered = true
}

// collect fetches a waiting request until it is complete or the time for
// collecting is over.
func (c *caller) collect(ctx context.Context, random *rand.Rand, r *Record) {
	limit, cancel := context.WithTimeout(ctx, c.mix.Collect)
	defer cancel()
	id := r.Answer.RequestID
	for pause := fetchPause; ; pause = min(2*pause, maxFetchWait) {
		if c.timer.Sleep(limit, pause) != nil {
			return
		}
		entry := c.mix.Entries[random.IntN(len(c.mix.Entries))]
		answer, err := c.fetch(limit, entry, r.Arrival.Customer.Key, id)
		if err != nil {
			r.LastError = err.Error()
			r.Retries++
			continue
		}
		switch answer.Outcome {
		case OutcomeAccepted, OutcomeRefused:
			// A refused fetch is tried again: another entry may know the request.
			r.LastError = answer.Reason
		default:
			r.Answer, r.Answered = answer, c.timer.Now()
			return
		}
	}
}

// callTime returns how long the caller waits for one entry. It gives up some time
// before the grace ends, so that it can ask another entry for the outcome.
func (c *caller) callTime(r *Record) time.Duration {
	if r.Arrival.Request.Kind == KindWaiting {
		return submitTime
	}
	return c.timeLeft(r) + c.mix.Grace/4
}

// timeLeft returns the time to the deadline or, for a call that repeats another
// one, to the end of the grace if that is longer: the outcome is still wanted.
func (c *caller) timeLeft(r *Record) time.Duration {
	left := r.Arrival.Request.Deadline - c.timer.Since(r.Sent)
	if r.Retries > 0 {
		left += c.mix.Grace / 2
	}
	return max(left, time.Millisecond)
}

// askAsStranger fetches a complete waiting request with the key of another customer.
func (c *caller) askAsStranger(ctx context.Context, random *rand.Rand, r *Record) {
	for _, other := range c.mix.Customers {
		if other.Name == r.Arrival.Customer.Name || r.Answer.Outcome != OutcomeDone {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, submitTime)
		defer cancel()
		entry := c.mix.Entries[random.IntN(len(c.mix.Entries))]
		if answer, err := c.fetch(limit, entry, other.Key, r.Answer.RequestID); err == nil {
			r.Foreign = answer
		}
		return
	}
}

func (c *caller) send(ctx context.Context, entry string, r *Record) (*Answer, error) {
	a := &r.Arrival
	path, body := a.body(c.timeLeft(r))
	body.FirstAttempt = a.Request.Kind == KindOrder && r.Retries == 0 && a.ResendOf < 0 && !a.Copied
	resp, err := c.post(ctx, entry, path, a.Customer.Key, body)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if a.Request.Kind == KindStream && resp.StatusCode == http.StatusOK {
		return c.readStream(resp.Body, r)
	}
	return readAnswer(resp)
}

func (c *caller) fetch(ctx context.Context, entry, key, id string) (*Answer, error) {
	u := "http://" + entry + "/v1/waiting/" + url.PathEscape(id)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build fetch")
	}
	req.Header.Set("Customer-Key", key)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, &connectionError{cause: err.Error()}
	}
	defer resp.Body.Close()
	return readAnswer(resp)
}

func (c *caller) post(ctx context.Context, entry, path, key string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Customer-Key", key)
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, &connectionError{cause: err.Error()}
	}
	return resp, nil
}

// requestBody is the body of a call; goa ignores what a method doesn't have.
type requestBody struct {
	Class        string `json:"class,omitempty"`
	DeadlineMS   int64  `json:"deadline_ms"`
	Input        string `json:"input"`
	MaxTokens    int    `json:"max_tokens,omitempty"`
	Prefix       string `json:"prefix,omitempty"`
	SubmissionID string `json:"submission_id,omitempty"`
	OrderID      string `json:"order_id,omitempty"`
	// FirstAttempt tells the entry that no other request used the order id.
	FirstAttempt bool `json:"first_attempt,omitempty"`
}

// body returns the path and the body of the call.
func (a *Arrival) body(left time.Duration) (string, requestBody) {
	b := requestBody{Class: a.Request.Class, DeadlineMS: left.Milliseconds(), Input: a.Input}
	switch a.Request.Kind {
	case KindCall:
		return "/v1/services/" + a.Request.Service + "/" + a.Request.Operation, b
	case KindOrder:
		b.OrderID = a.Order
		return "/v1/services/" + a.Request.Service + "/" + a.Request.Operation, b
	case KindWaiting:
		b.SubmissionID = a.Order
	}
	b.MaxTokens = a.Request.Tokens
	b.Prefix = a.Request.Prefix
	path := "/v1/pipelines/" + a.Request.Pipeline
	if a.Request.Kind == KindStream {
		path += "/stream"
	}
	return path, b
}

// goaError is the body of a bad_request or not_found answer.
type goaError struct {
	Name    string `json:"name"`
	Message string `json:"message"`
}

// readAnswer reads an answer. A status that no entry in service gives counts as
// a failed connection.
func readAnswer(resp *http.Response) (*Answer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, &connectionError{cause: "read answer: " + err.Error()}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		var a Answer
		if err := json.Unmarshal(data, &a); err != nil {
			return nil, &connectionError{cause: "decode answer: " + err.Error()}
		}
		return &a, nil
	case http.StatusBadRequest, http.StatusNotFound:
		var e goaError
		_ = json.Unmarshal(data, &e)
		return &Answer{Outcome: OutcomeRefused, Reason: e.Name, Detail: e.Message}, nil
	case http.StatusServiceUnavailable:
		var e goaError
		if json.Unmarshal(data, &e) == nil && e.Name == reasonUnavailable {
			return nil, &unavailableError{detail: e.Message}
		}
	}
	return nil, &connectionError{cause: "status " + resp.Status}
}

// readStream reads the events of a stream up to the answer.
func (c *caller) readStream(body io.Reader, r *Record) (*Answer, error) {
	r.Stream, r.StreamGap, r.Gaps, r.FirstToken = "", "", nil, time.Time{}
	var text strings.Builder
	defer func() { r.Stream = text.String() }()
	next, last := 0, r.Sent
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 64<<10), maxAnswer)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return nil, &connectionError{cause: "decode event: " + err.Error()}
		}
		if e.Answer != nil {
			return e.Answer, nil
		}
		if e.Event != "token" {
			continue
		}
		if e.Offset != next && r.StreamGap == "" {
			r.StreamGap = offsetFault(next, e.Offset)
		}
		next = e.Offset + 1
		text.WriteString(e.Text)
		now := c.timer.Now()
		if r.FirstToken.IsZero() {
			r.FirstToken = now
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
	}
	return nil, &connectionError{cause: "the stream ended without an answer"}
}
