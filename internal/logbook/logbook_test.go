package logbook

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Lines of two processes as a run wrote them, one of them cut short.
const (
	gatewayLog = `   9.9 edge-1 I0811 16:08:31.020065    6440 serve.go:240] "Request" request="aa01" route="draft" service="pool" customer="depot" rank=3 status=503 reason="stage_queue_too_long" patience_ms=3100 waited_before_ms=1960 took_ms=140 stages_ms=139 first_ms=0 target="" tried=0 ran=0 catalog=5 cause="stage service invoicing: queue_too_long"
I0811 16:08:30.020065    6440 serve.go:240] "Request" request="bb02" route="chat" service="pool" customer="depot" status=200 reason="answered" took_ms=900 stages_ms=700 first_ms=760 target="i-1" tried=1 ran=1 cause=""
I0811 16:08:32.000000    6440 serve.go:240] "Request" request="cc03" route="release" service="core" customer="depot" status=502 reason="may_have_run" took_ms=3 target="i-9" ran=1 cause="read 10.0.0.1:1: \"reset\""
I0811 16:08:33.0`
	controlLog = `I0811 16:08:30.980065    7000 runner.go:400] "Stage not run" request="aa01" stage=0 service="invoicing" reason="queue_too_long" pieces=1 waited_ms=113 backlog_ms=930 deadline_in_ms=1415
I0811 16:08:29.100000    7000 runner.go:433] "Stage call" service="invoicing" target="i-7" pieces=8 first_request="bb02" took_ms=340 expected_ms=330 outcome="answered"
`
)

func tell(t *testing.T, request string) string {
	var all []Entry
	for source, text := range map[string]string{"edge-1": gatewayLog, "core-1": controlLog} {
		entries, err := Read(source, strings.NewReader(text), request)
		require.NoError(t, err)
		all = append(all, entries...)
	}
	Sort(all)
	var lines []string
	for _, e := range all {
		lines = append(lines, e.Sentence())
	}
	return strings.Join(lines, "\n")
}

// Guards against an account that lacks the decision, mixes requests, or says of an
// order that may have run that it did not.
func TestAccountOfARequest(t *testing.T) {
	require.Equal(t, `0811 16:08:30.980065  core-1: stage 0 was not run by service invoicing (the queue of a stage was too long for the time that the caller had left): it had waited 113 ms, 930 ms of work were queued there, and it had to be done within 1415 ms.
0811 16:08:31.020065  edge-1: the request of customer depot on route draft ended after 140 ms with a refusal: the queue of a stage was too long for the time that the caller had left. It did not run and won't; the caller had waited at least 1960 ms in earlier attempts (last error: stage service invoicing: queue_too_long).`, tell(t, "aa01"))
	require.Contains(t, tell(t, "bb02"), "target i-7 worked on 8 pieces")
	require.Contains(t, tell(t, "bb02"), "with the answer of target i-1, which began after 760 ms")
	require.Contains(t, tell(t, "cc03"), "Target i-9 may have run it")
	require.NotContains(t, tell(t, "cc03"), "did not run")
	require.Empty(t, tell(t, "a"), "a part of an id is no id")
}
