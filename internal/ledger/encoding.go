package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// appendMessage appends the deterministic encoding of a message. It panics on strings
// that aren't valid UTF-8, which decoded commands can't contain.
func appendMessage(b []byte, m proto.Message) []byte {
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(b, m)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode %T: %v", m, err))
	}
	return out
}

// mustUnmarshal decodes a record that was encoded by this package or validated by
// Restore.
func mustUnmarshal(record string, m proto.Message) {
	if err := proto.Unmarshal([]byte(record), m); err != nil {
		panic(fmt.Sprintf("ledger: decode %T: %v", m, err))
	}
}

// appendEvent appends an event and retains the first one and the latest ones, up to
// limit events.
func appendEvent(events []*wire.OrderEvent, limit int, pos logPosition, text string) []*wire.OrderEvent {
	events = append(events, &wire.OrderEvent{AtMs: pos.nowMS, Text: text})
	if excess := len(events) - limit; excess > 0 {
		events = append(events[:1], events[1+excess:]...)
	}
	return events
}
