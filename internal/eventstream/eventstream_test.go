package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an id that is missed or taken from other text, so that a resumed stream repeats
// or leaves out events.
func TestPositionAfterEvents(t *testing.T) {
	for _, c := range []struct {
		name, text, id string
		end            int
		resumable      bool
	}{
		{"id before data", "id: 4\ndata: x\n\n", "4", -1, true},
		{"id after data", "data: x\nid: 4\n\n", "4", -1, true},
		{"id in the text", "id: 4\ndata: invoice paid: 3\n\n", "4", -1, true},
		{"id at the end of the text", "id: 4\ndata: paid:\ndata: id: 9\n\n", "4", -1, true},
		{"field with a longer name", "id: 4\nidentity: 9\ndata: x\n\n", "4", -1, true},
		{"id in a comment", "id: 4\n:id: 9\ndata: x\n\n", "4", -1, true},
		{"no space", "id:4\ndata:x\n\n", "4", -1, true},
		{"other field first", "weight-versions: 3\nid: 4\ndata: x\n\n", "4", -1, true},
		{"CRLF", "id: 4\r\ndata: x\r\n\r\n", "4", -1, true},
		{"CR", "id: 4\rdata: x\r\r", "4", -1, true},
		{"mixed line ends", "id: 4\r\ndata: x\n\r\n", "4", -1, true},
		{"last of several", "id: 4\ndata: bid:\n\nid: 5\ndata: x\n\n", "5", -1, true},
		{"part of an event", "id: 4\ndata: x\n\nid: 5\ndata: y\n", "4", len("id: 4\ndata: x\n\n"), true},
		{"comment after the event", "id: 4\ndata: x\n\n: ping\n\n", "4", -1, true},
		{"event without id", "id: 4\ndata: x\n\ndata: y\n\n", "4", -1, false},
		{"event without id before one", "data: y\n\nid: 4\ndata: x\n\n", "4", -1, true},
		{"empty id", "id: 4\ndata: x\n\nid\ndata: y\n\n", "4", -1, false},
		{"id that no header can carry", "id: 4\ndata: x\n\nid: \x005\ndata: y\n\n", "4", -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p Position
			e := Scan([]byte(c.text))
			p.Advance(e)
			if c.end < 0 {
				c.end = len(c.text)
			}
			require.Equal(t, c.end, e.End())
			require.Equal(t, c.id, p.LastID())
			require.Equal(t, c.resumable, p.Resumable())
			require.True(t, e.HasData())
		})
	}
}

// Guards against comments that count as progress of a stream.
func TestCommentsAreNoData(t *testing.T) {
	for _, text := range []string{": data\n\n", "\n\n", ":\ndatabase: 4\n\n", "id: 4\n\n"} {
		require.False(t, Scan([]byte(text)).HasData(), "%q", text)
	}
}

// Guards against a position that depends on how a stream is cut into reads: whatever the texts,
// the line ends and the cuts, the id is that of the last event that was passed on whole.
func TestPositionOfAnyStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
		texts := rapid.SliceOf(rapid.SampledFrom([]string{"id:", "paid: 3", "data: x", "", " id: 7", "\tbid:"})).Draw(t, "texts")
		var stream strings.Builder
		var ends []int // positions at which the blank line of each event is known
		for i, text := range texts {
			fields := []string{fmt.Sprint("id: ", i), "data: " + text}
			if rapid.Bool().Draw(t, "id last") {
				fields[0], fields[1] = fields[1], fields[0]
			}
			stream.WriteString(strings.Join(fields, lineEnd) + lineEnd + lineEnd)
			ends = append(ends, stream.Len()-len(lineEnd)+1)
		}
		var p Position
		var pending, passed []byte
		for rest := stream.String(); rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			pending, rest = append(pending, rest[:n]...), rest[n:]
			e := Scan(pending)
			p.Advance(e)
			passed = append(passed, pending[:e.End()]...)
			pending = pending[e.End():]
			last := ""
			for i, end := range ends {
				if len(passed) >= end {
					last = fmt.Sprint(i)
				}
			}
			require.Equal(t, last, p.LastID())
			require.True(t, p.Resumable())
		}
		require.Equal(t, stream.String(), string(passed)+string(pending))
		require.Empty(t, strings.Trim(string(pending), "\n"))
	})
}
