// Package logbook tells from the log lines of all processes what happened to one
// request, in plain sentences.
//
// # Usage
//
//	entries, err := logbook.Read("gateway-1", file, "5715123228e3e79e")
//	logbook.Sort(entries)
//	for _, e := range entries {
//		fmt.Println(e.Sentence())
//	}
package logbook

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// klogLine has the time, the message and the fields of a structured line of klog. What
// a collector of logs writes before it is ignored.
var (
	klogLine = regexp.MustCompile(`[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [^\]]+\] "([^"]*)"(.*)$`)
	field    = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Entry is one line that names a request.
type Entry struct {
	source  string
	at      string
	message string
	fields  map[string]string
}

// Source returns the name of the log that has the line.
func (e Entry) Source() string { return e.source }

// Field returns a field's value, empty when the line doesn't have it.
func (e Entry) Field(name string) string { return e.fields[name] }

// Read returns the lines of a log that name a request. The error names the log.
func Read(source string, r io.Reader, request string) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), request) {
			continue
		}
		if e, ok := parse(source, lines.Text()); ok && (e.Field("request") == request || e.Field("first_request") == request) {
			entries = append(entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "read log %s", source)
	}
	return entries, nil
}

func parse(source, line string) (Entry, bool) {
	m := klogLine.FindStringSubmatch(line)
	if m == nil {
		return Entry{}, false
	}
	e := Entry{source: source, at: m[1], message: m[2], fields: map[string]string{}}
	for _, f := range field.FindAllStringSubmatch(m[3], -1) {
		e.fields[f[1]] = strings.Trim(f[2], `"`)
	}
	return e, true
}

// Sort orders lines of several processes by their times.
func Sort(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.at, b.at) })
}

// Sentence tells the line in words.
func (e Entry) Sentence() string {
	return fmt.Sprintf("%s  %s: %s", e.at, e.source, e.words())
}

func (e Entry) words() string {
	f := e.Field
	switch e.message {
	case "Request":
		return e.outcome()
	case "Stage call":
		return fmt.Sprintf("target %s worked on %s pieces of service %s for %s ms (%s expected), this request's among them: %s.",
			f("target"), f("pieces"), f("service"), f("took_ms"), f("expected_ms"), f("outcome"))
	case "Stage not run":
		return fmt.Sprintf("stage %s was not run by service %s (%s): it had waited %s ms, %s ms of work were queued there, and it had to be done within %s ms.",
			f("stage"), f("service"), explainReason("stage_"+f("reason")), f("waited_ms"), f("backlog_ms"), f("deadline_in_ms"))
	case "Request sent again":
		if f("ran") == "true" {
			return fmt.Sprintf("target %s failed (%s); it may have run the request, which may be repeated, so another target got it.", f("after"), f("cause"))
		}
		return fmt.Sprintf("target %s did not run it (%s); another target got it.", f("after"), f("cause"))
	case "Stream taken up":
		return e.takeUp()
	case "Collector failed":
		return fmt.Sprintf("control VM %s stopped collecting for service %s (%s); another one went on.", f("collector"), f("service"), f("cause"))
	}
	return e.message
}

// takeUp tells which software version a stream that the caller takes up is bound to.
func (e Entry) takeUp() string {
	f := e.Field
	begun := fmt.Sprintf("the stream that request %s began, taken up after event %s, ", f("resumes"), f("resume_after"))
	switch f("outcome") {
	case "unknown":
		return begun + fmt.Sprintf("began at a software version that could not be told: %s.", f("cause"))
	case "version_gone":
		return begun + fmt.Sprintf("began at software version %q of service %s (%s), which no target runs that takes requests.", f("software"), f("service"), takeUpSources[f("source")])
	}
	return begun + fmt.Sprintf("goes on at software version %q of service %s (%s).", f("software"), f("service"), takeUpSources[f("source")])
}

// takeUpSources are where the software version of a stream is known from.
var takeUpSources = map[string]string{
	"own":      "this gateway has passed on the beginning",
	"recorded": "recorded by the control VMs",
	"first":    "no record, so that it is the first version of the service",
	"only":     "no other version may have begun streams",
	"targets":  "all targets run it",
}

// outcome tells how a request ended.
func (e Entry) outcome() string {
	f := e.Field
	var b strings.Builder
	fmt.Fprintf(&b, "the request of customer %s on route %s ended after %s ms", f("customer"), f("route"), f("took_ms"))
	switch status := f("status"); {
	case f("reason") == "answered":
		fmt.Fprintf(&b, " with the answer of target %s, which began after %s ms (%s ms of that in stages)", f("target"), f("first_ms"), f("stages_ms"))
	case status == "503" || status == "429":
		fmt.Fprintf(&b, " with a refusal: %s. It did not run and won't", explainReason(f("reason")))
	case f("ran") != "0":
		fmt.Fprintf(&b, " without a whole answer: %s. Target %s may have run it", explainReason(f("reason")), f("target"))
	default:
		fmt.Fprintf(&b, " with status %s: %s. No target got it", status, explainReason(f("reason")))
	}
	if resumes := f("resumes"); resumes != "" {
		fmt.Fprintf(&b, "; it takes up the stream that request %s began, after event %s, and was sent to software version %q", resumes, f("resume_after"), f("software"))
	}
	if waited := f("waited_before_ms"); waited != "" && waited != "0" {
		fmt.Fprintf(&b, "; the caller had waited at least %s ms in earlier attempts", waited)
	}
	if cause := f("cause"); cause != "" {
		fmt.Fprintf(&b, " (last error: %s)", cause)
	}
	return b.String() + "."
}

// reasons are what the reasons in the lines mean.
var reasons = map[string]string{
	"stage_queue_too_long":    "the queue of a stage was too long for the time that the caller had left",
	"stage_input_gone":        "an intermediate result was lost with its target",
	"stage_too_many_failures": "the targets of a stage failed several times",
	"stage_no_collector":      "no control VM could be reached to run the stages",
	"stage_unknown_service":   "the control VM didn't know the service yet",
	"targets_evacuated":       "all targets of a service that it needs are in evacuated failure domains",
	"stage_targets_evacuated": "all targets of a stage are in evacuated failure domains",
	"no_catalog":              "the process had no catalog yet",
	"unsure_no_route":         "the process couldn't be sure that its catalog is the newest",
	"unsure_unknown_key":      "the process couldn't be sure that its catalog is the newest",
	"no_target":               "no target could take it",
	"version_unknown":         "which software version began the stream could not be told",
	"version_gone":            "no target runs the software version any more that began the stream",
	"no_other_target":         "no further target could take it",
	"retry_budget":            "the budget for repeated requests was spent",
	"stopping":                "the process was about to stop",
	"deadline":                "the time was over",
	"caller_left":             "the caller left",
	"may_have_run":            "a target failed without an answer, and the request must not be repeated",
	"attempts_spent":          "all attempts that the route allows failed",
	"stream_broken":           "the stream broke off and could not be resumed",
	"no_route":                "no route has this host and path",
	"unknown_key":             "no customer holds the caller's key",
}

func explainReason(reason string) string {
	if words, ok := reasons[reason]; ok {
		return words
	}
	return reason
}
