package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	maxTargetAnswer  = 4 << 20
	targetIdleConns  = 256
	targetDialBound  = 300 * time.Millisecond
	targetQueryBound = time.Second
	maxEventLine     = 1 << 20

	// continueBound is how long a connection may take to show that the target reads
	// a call from it. The target answers as soon as it reads the headers, and two
	// such waits fit the 500 ms that counter staff give a lookup.
	continueBound = 150 * time.Millisecond
	// maxSends bounds the connections tried for one call.
	maxSends = 3
)

// errNotAccepted is a call whose body wasn't sent, because the connection had
// carried calls before and the target didn't show that it still reads from it.
var errNotAccepted = errors.New("the connection to the target is silent")

// Errors of a result. An entry retries at another target after ErrorOverloaded
// and ErrorTargetUnreachable, because the call has not run.
const (
	ErrorTargetUnreachable = "target_unreachable"
	ErrorTargetBroke       = "target_connection_broke"
	ErrorTargetFailed      = "target_failed"
	ErrorOverloaded        = "overloaded"
	ErrorCanceled          = "canceled"
	ErrorDeadline          = "deadline_exceeded"
)

// stageCall is the body of a stage call in the target's protocol.
type stageCall struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Customer     string `json:"customer"`
	Order        string `json:"order,omitempty"`
	Fence        uint64 `json:"fence,omitempty"`
	Input        string `json:"input"`
	PromptTokens int32  `json:"prompt_tokens,omitempty"`
	MaxTokens    int32  `json:"max_tokens,omitempty"`
	Priority     int32  `json:"priority"`
	Prefix       string `json:"prefix,omitempty"`
	FromOffset   int32  `json:"from_offset,omitempty"`
	DeadlineMs   int64  `json:"deadline_ms"`
	Model        string `json:"model,omitempty"`
}

// stageAnswer is the answer of a stage call in the target's protocol.
type stageAnswer struct {
	Attempt string  `json:"attempt"`
	Request string  `json:"request"`
	Output  string  `json:"output"`
	BusyMs  float64 `json:"busy_ms"`
	Tokens  int32   `json:"tokens"`
	Error   string  `json:"error,omitempty"`
}

type tokenEvent struct {
	Offset int32  `json:"offset"`
	Text   string `json:"text"`
}

// targetInfo is what a target says of itself.
type targetInfo struct {
	Kind          string   `json:"kind"`
	Service       string   `json:"service"`
	Models        []string `json:"models"`
	ChecksFencing bool     `json:"checks_fencing"`
	Slots         int32    `json:"slots"`
}

// targetLoad is a target's load report. AgeMs is how old it was when the target sent it.
type targetLoad struct {
	Queued       int32    `json:"queued"`
	Running      int32    `json:"running"`
	Slots        int32    `json:"slots"`
	AgeMs        int64    `json:"age_ms"`
	Models       []string `json:"models"`
	CachedTokens int64    `json:"cached_tokens"`
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// target speaks the HTTP protocol of the target beside this agent.
type target struct {
	url  string
	http *http.Client
	// noContinue tells that the target never answers Expect: 100-continue.
	noContinue atomic.Bool
}

func newTarget(url string, dial dialFunc) *target {
	if dial == nil {
		dial = (&net.Dialer{Timeout: targetDialBound}).DialContext
	}
	return &target{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: targetIdleConns,
		DisableCompression:  true,

		ExpectContinueTimeout: continueBound,
	}}}
}

// get asks once more on a new connection when there is no answer, so that a silent
// connection isn't taken for a target that doesn't answer.
func (t *target) get(ctx context.Context, path string, into any) error {
	err := t.getOnce(ctx, path, into)
	if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	t.http.CloseIdleConnections()
	return t.getOnce(ctx, path, into)
}

func (t *target) getOnce(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, targetQueryBound)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.url+path, nil)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.url)
	}
	return t.exchange(req, into)
}

func (t *target) post(ctx context.Context, path string, body, into any) error {
	req, err := t.newPost(ctx, path, body)
	if err != nil {
		return err
	}
	return t.exchange(req, into)
}

func (t *target) newPost(ctx context.Context, path string, body any) (*http.Request, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrapf(err, "encode call of %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url+path, bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrapf(err, "target %s", t.url)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

func (t *target) exchange(req *http.Request, into any) error {
	resp, err := t.http.Do(req)
	if err != nil {
		return errors.Wrapf(err, "target %s", t.url)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxTargetAnswer))
	if err != nil {
		return errors.Wrapf(err, "target %s", t.url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("target %s answered %s to %s", t.url, resp.Status, req.URL.Path)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(b, into); err != nil {
		return errors.Wrapf(err, "target %s: decode answer of %s", t.url, req.URL.Path)
	}
	return nil
}

// targetRefusal is the body of a target's answer that isn't a success.
type targetRefusal struct {
	Reason string `json:"error"`
	Detail string `json:"detail"`
}

// notRunReasons are the target's refusals that say the call never started.
var notRunReasons = map[string]struct{}{
	"bad_request":       {},
	"unknown_operation": {},
	"unknown_model":     {},
	"stale_fence":       {},
	ErrorOverloaded:     {},
}

// readRefusal notes the target's reason. Only the reasons that name a call which
// never started count as not run; any other failure may have taken effect.
func readRefusal(resp *http.Response, result *wire.AttemptResult) {
	var refusal targetRefusal
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventLine))
	_ = json.Unmarshal(b, &refusal)
	if _, ok := notRunReasons[refusal.Reason]; ok {
		result.Ran = false
		result.Error = refusal.Reason
		return
	}
	result.Error = ErrorTargetFailed + ": " + resp.Status
}

// run makes one stage call. The result tells by its ran field whether the call
// may have taken effect: a failed dial and certain refusals have not.
func (t *target) run(ctx context.Context, req *wire.AttemptRequest, onToken func(*wire.Token)) *wire.AttemptResult {
	result := &wire.AttemptResult{Attempt: req.GetAttempt(), Request: req.GetRequest()}
	resp, err := t.send(ctx, req)
	if err != nil {
		failCall(ctx, result, err)
		return result
	}
	defer func() { _ = resp.Body.Close() }()
	result.Ran = true
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp, result)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		readEvents(ctx, resp.Body, req, result, onToken)
	default:
		readAnswer(ctx, resp.Body, req, result)
	}
	return result
}

// send sends a call on a connection that works. One that carried calls before may
// have gone silent since, so the body follows only once the target has shown that
// it reads; else the call, which can't have run, goes to another connection.
func (t *target) send(ctx context.Context, req *wire.AttemptRequest) (*http.Response, error) {
	var resp *http.Response
	err := errNotAccepted
	for n := 0; n < maxSends && errors.Is(err, errNotAccepted); n++ {
		if n > 0 {
			// The idle connections share the path that went silent.
			t.http.CloseIdleConnections()
		}
		var hr *http.Request
		if hr, err = t.newPost(ctx, "/v1/stage/"+req.GetOperation(), newStageCall(req)); err != nil {
			return nil, errNotAccepted
		}
		resp, err = t.sendOnce(ctx, hr)
	}
	return resp, err
}

func (t *target) sendOnce(ctx context.Context, hr *http.Request) (*http.Response, error) {
	if t.noContinue.Load() {
		return t.http.Do(hr)
	}
	s := &sending{}
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, s.trace()))
	hr.Header.Set("Expect", "100-continue")
	body := hr.GetBody
	hr.GetBody = func() (io.ReadCloser, error) {
		b, err := body()
		return &gatedBody{ReadCloser: b, sending: s}, err
	}
	hr.Body = &gatedBody{ReadCloser: hr.Body, sending: s}
	resp, err := t.http.Do(hr)
	if err == nil && resp.StatusCode == http.StatusOK && !s.accepted.Load() {
		t.noContinue.Store(true)
	}
	return resp, err
}

// sending is what is known of the connection that carries a call.
type sending struct {
	reused   atomic.Bool
	accepted atomic.Bool
}

func (s *sending) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { s.reused.Store(i.Reused) },
		Got100Continue: func() { s.accepted.Store(true) },
	}
}

// gatedBody gives the body away only to a new connection or to one from which the
// target reads. The transport reads it after 100 Continue or after continueBound.
type gatedBody struct {
	io.ReadCloser
	sending *sending
	open    bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.open && b.sending.reused.Load() && !b.sending.accepted.Load() {
		return 0, errNotAccepted
	}
	b.open = true
	return b.ReadCloser.Read(p)
}

func newStageCall(req *wire.AttemptRequest) *stageCall {
	return &stageCall{
		Attempt:      req.GetAttempt(),
		Request:      req.GetRequest(),
		Customer:     req.GetCustomer(),
		Order:        req.GetOrderId(),
		Fence:        req.GetFence(),
		Input:        string(req.GetInput()),
		PromptTokens: req.GetPromptTokens(),
		MaxTokens:    req.GetMaxTokens(),
		Priority:     req.GetPriority(),
		Prefix:       req.GetPrefix(),
		FromOffset:   req.GetFromOffset(),
		DeadlineMs:   req.GetTimeLeftMs(),
		Model:        req.GetModel(),
	}
}

func failCall(ctx context.Context, result *wire.AttemptResult, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, errNotAccepted) {
		result.Error = ErrorTargetUnreachable
		return
	}
	result.Ran = true
	result.Error = breakReason(ctx)
	result.Canceled = errors.Is(ctx.Err(), context.Canceled)
}

func breakReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrorDeadline
	case ctx.Err() != nil:
		return ErrorCanceled
	}
	return ErrorTargetBroke
}

func readAnswer(ctx context.Context, body io.Reader, req *wire.AttemptRequest, result *wire.AttemptResult) {
	b, err := io.ReadAll(io.LimitReader(body, maxTargetAnswer))
	if err != nil {
		result.Error = breakReason(ctx)
		return
	}
	acceptAnswer(b, req, result)
}

// acceptAnswer takes over the target's answer only when it names this attempt
// and request, so that a mixed-up answer never reaches another caller.
func acceptAnswer(b []byte, req *wire.AttemptRequest, result *wire.AttemptResult) {
	var a stageAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		result.Error = ErrorTargetFailed + ": answer isn't JSON"
		return
	}
	if a.Attempt != req.GetAttempt() || a.Request != req.GetRequest() {
		result.Error = ErrorTargetFailed + ": answer of another attempt"
		return
	}
	result.Output = []byte(a.Output)
	result.BusyUs = int64(a.BusyMs * float64(time.Millisecond/time.Microsecond))
	result.Tokens = a.Tokens
	result.Error = a.Error
}

// readEvents reads server-sent events until the event done. Tokens must arrive
// without a gap and without a repeat; anything else ends the attempt.
func readEvents(ctx context.Context, body io.Reader, req *wire.AttemptRequest, result *wire.AttemptResult, onToken func(*wire.Token)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLine)
	event := ""
	next := req.GetFromOffset()
	for scanner.Scan() {
		line := scanner.Text()
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case name == "event":
			event = value
		case name == "data" && event == "token":
			var token tokenEvent
			if err := json.Unmarshal([]byte(value), &token); err != nil || token.Offset != next {
				result.Error = ErrorTargetFailed + ": token out of order at offset " + strconv.Itoa(int(next))
				return
			}
			next++
			onToken(&wire.Token{Offset: token.Offset, Text: token.Text})
		case name == "data" && event == "done":
			acceptAnswer([]byte(value), req, result)
			return
		case name == "data" && event == "error":
			var refusal targetRefusal
			_ = json.Unmarshal([]byte(value), &refusal)
			result.Error = ErrorTargetFailed + ": " + refusal.Reason
			return
		}
	}
	result.Error = breakReason(ctx)
	result.Canceled = errors.Is(ctx.Err(), context.Canceled)
}
