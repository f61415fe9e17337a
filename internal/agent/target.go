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

	"github.com/cardamomline/cardamomline/internal/upstream"
	"github.com/cardamomline/cardamomline/internal/wire"
)

const (
	maxTargetResponseBytes = 4 << 20
	maxTargetStreamBytes   = 64 << 20
	targetIdleConns        = 256
	targetDialTimeout      = 300 * time.Millisecond
	targetQueryTimeout     = time.Second
	maxEventLineBytes      = 1 << 20

	// continueTimeout is how long the target may take to confirm that it reads a call from
	// a connection. The target confirms as soon as it has read the headers, and two such
	// waits fit into the deadline of 500 ms of interactive lookups.
	continueTimeout = 150 * time.Millisecond
	// maxSendAttempts limits the connections tried for one call.
	maxSendAttempts = 3
)

// errNotAccepted reports that the body of a call wasn't sent, because its connection was
// reused and the target didn't confirm that it still reads from it.
var errNotAccepted = errors.New("the target did not confirm the call on a reused connection")

// Errors of a result. An entry retries at another target after ErrorOverloaded and
// ErrorTargetUnreachable, because the call has not run.
const (
	ErrorTargetUnreachable     = "target_unreachable"
	ErrorTargetConnectionBroke = "target_connection_broke"
	ErrorTargetFailed          = "target_failed"
	ErrorOverloaded            = "overloaded"
	ErrorCanceled              = "canceled"
	ErrorDeadline              = "deadline_exceeded"
)

// stageCall is the request body of a stage call in the target's protocol.
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

// stageResponse is the response body of a stage call in the target's protocol.
type stageResponse struct {
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

// targetInfo is a target's description of itself.
type targetInfo struct {
	Kind          string   `json:"kind"`
	Service       string   `json:"service"`
	Models        []string `json:"models"`
	ChecksFencing bool     `json:"checks_fencing"`
	Slots         int32    `json:"slots"`
}

// targetLoad is a target's load report. AgeMs is its age when the target sent it.
type targetLoad struct {
	Queued       int32    `json:"queued"`
	Running      int32    `json:"running"`
	Slots        int32    `json:"slots"`
	AgeMs        int64    `json:"age_ms"`
	Models       []string `json:"models"`
	CachedTokens int64    `json:"cached_tokens"`
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// target is the HTTP client of the target beside this agent.
type target struct {
	url  string
	http *http.Client
	// noContinue is set when the target doesn't support Expect: 100-continue.
	noContinue atomic.Bool
}

func newTarget(url string, dial dialFunc) *target {
	if dial == nil {
		dial = (&net.Dialer{Timeout: targetDialTimeout}).DialContext
	}
	return &target{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    targetIdleConns,
		DisableCompression:     true,
		MaxResponseHeaderBytes: upstream.MaxHeadBytes,

		ExpectContinueTimeout: continueTimeout,
	}}}
}

// get retries once on a new connection after a time-out, so that an unresponsive
// connection isn't mistaken for an unresponsive target.
func (t *target) get(ctx context.Context, path string, into any) error {
	err := t.getOnce(ctx, path, into)
	if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	t.http.CloseIdleConnections()
	return t.getOnce(ctx, path, into)
}

func (t *target) getOnce(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, targetQueryTimeout)
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
	b, err := io.ReadAll(upstream.LimitBody(resp.Body, maxTargetResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "target %s", t.url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("target %s responded %s to %s", t.url, resp.Status, req.URL.Path)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(b, into); err != nil {
		return errors.Wrapf(err, "target %s: decode response of %s", t.url, req.URL.Path)
	}
	return nil
}

// targetRefusal is the body of an error response of a target.
type targetRefusal struct {
	Reason string `json:"error"`
	Detail string `json:"detail"`
}

// notRunReasons are the target's error reasons which mean that the call never started.
var notRunReasons = map[string]struct{}{
	"bad_request":       {},
	"unknown_operation": {},
	"unknown_model":     {},
	"stale_fence":       {},
	ErrorOverloaded:     {},
}

// readRefusal records the reason of an error response. Only notRunReasons count as not
// run; after any other failure the call may have taken effect.
func readRefusal(resp *http.Response, result *wire.AttemptResult) {
	var refusal targetRefusal
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventLineBytes))
	_ = json.Unmarshal(b, &refusal)
	if _, ok := notRunReasons[refusal.Reason]; ok {
		result.Ran = false
		result.Error = refusal.Reason
		return
	}
	result.Error = ErrorTargetFailed + ": " + resp.Status
}

// run makes one stage call. The field Ran of the result is set if the call may have taken
// effect; it isn't set after a failed dial or one of the notRunReasons.
func (t *target) run(ctx context.Context, req *wire.AttemptRequest, onToken func(*wire.Token)) *wire.AttemptResult {
	result := &wire.AttemptResult{Attempt: req.GetAttempt(), Request: req.GetRequest()}
	resp, err := t.send(ctx, req)
	if err != nil {
		setSendError(ctx, result, err)
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
		readResponse(ctx, resp.Body, req, result)
	}
	return result
}

// send sends a call on a working connection. A reused connection may have become
// unresponsive, so the body is sent only after the target has confirmed that it reads.
// Without confirmation the call can't have run and is retried on another connection.
func (t *target) send(ctx context.Context, req *wire.AttemptRequest) (*http.Response, error) {
	var resp *http.Response
	err := errNotAccepted
	for n := 0; n < maxSendAttempts && errors.Is(err, errNotAccepted); n++ {
		if n > 0 {
			// The other idle connections share the failed network path.
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
	s := &sendState{}
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, s.trace()))
	hr.Header.Set("Expect", "100-continue")
	body := hr.GetBody
	hr.GetBody = func() (io.ReadCloser, error) {
		b, err := body()
		return &gatedBody{ReadCloser: b, state: s}, err
	}
	hr.Body = &gatedBody{ReadCloser: hr.Body, state: s}
	resp, err := t.http.Do(hr)
	if err == nil && resp.StatusCode == http.StatusOK && !s.accepted.Load() {
		t.noContinue.Store(true)
	}
	return resp, err
}

// sendState is the state of the connection that carries a call.
type sendState struct {
	reused   atomic.Bool
	accepted atomic.Bool
}

func (s *sendState) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:        func(i httptrace.GotConnInfo) { s.reused.Store(i.Reused) },
		Got100Continue: func() { s.accepted.Store(true) },
	}
}

// gatedBody allows the body to be read only on a new connection or after the target's
// confirmation. The transport reads it after 100 Continue or after continueTimeout.
type gatedBody struct {
	io.ReadCloser
	state    *sendState
	unlocked bool
}

// Read implements io.Reader.
func (b *gatedBody) Read(p []byte) (int, error) {
	if !b.unlocked && b.state.reused.Load() && !b.state.accepted.Load() {
		return 0, errNotAccepted
	}
	b.unlocked = true
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

func setSendError(ctx context.Context, result *wire.AttemptResult, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, errNotAccepted) {
		result.Error = ErrorTargetUnreachable
		return
	}
	result.Ran = true
	result.Error = interruptionReason(ctx)
	result.Canceled = errors.Is(ctx.Err(), context.Canceled)
}

func interruptionReason(ctx context.Context) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return ErrorDeadline
	case ctx.Err() != nil:
		return ErrorCanceled
	}
	return ErrorTargetConnectionBroke
}

func readResponse(ctx context.Context, body io.Reader, req *wire.AttemptRequest, result *wire.AttemptResult) {
	b, err := io.ReadAll(upstream.LimitBody(body, maxTargetResponseBytes))
	if err != nil {
		setReadError(ctx, result, err)
		return
	}
	decodeResponse(b, req, result)
}

// decodeResponse accepts the target's response only if it names this attempt and request,
// so that a misdirected response never reaches another caller.
func decodeResponse(b []byte, req *wire.AttemptRequest, result *wire.AttemptResult) {
	var a stageResponse
	if err := json.Unmarshal(b, &a); err != nil {
		result.Error = ErrorTargetFailed + ": response isn't JSON"
		return
	}
	if a.Attempt != req.GetAttempt() || a.Request != req.GetRequest() {
		result.Error = ErrorTargetFailed + ": response of another attempt"
		return
	}
	result.Output = []byte(a.Output)
	result.BusyUs = int64(a.BusyMs * float64(time.Millisecond/time.Microsecond))
	result.Tokens = a.Tokens
	result.Error = a.Error
}

// readEvents reads server-sent events until the event "done". Tokens must arrive in order,
// without a gap or a repetition; otherwise the attempt fails.
func readEvents(ctx context.Context, body io.Reader, req *wire.AttemptRequest, result *wire.AttemptResult, onToken func(*wire.Token)) {
	scanner := bufio.NewScanner(upstream.LimitBody(body, maxTargetStreamBytes))
	scanner.Buffer(nil, maxEventLineBytes)
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
			decodeResponse([]byte(value), req, result)
			return
		case name == "data" && event == "error":
			var refusal targetRefusal
			_ = json.Unmarshal([]byte(value), &refusal)
			result.Error = ErrorTargetFailed + ": " + refusal.Reason
			return
		}
	}
	setReadError(ctx, result, scanner.Err())
	result.Canceled = errors.Is(ctx.Err(), context.Canceled)
}

// setReadError records why a response ended early: the target sent too much, or the call was
// interrupted.
func setReadError(ctx context.Context, result *wire.AttemptResult, err error) {
	var large *upstream.BodyTooLargeError
	if errors.As(err, &large) || errors.Is(err, bufio.ErrTooLong) {
		result.Error = ErrorTargetFailed + ": " + err.Error()
		return
	}
	result.Error = interruptionReason(ctx)
}
