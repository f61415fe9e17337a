package ledger

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// appendMessage appends the encoding of a message whose strings are valid UTF-8,
// which every decoded command guarantees.
func appendMessage(b []byte, m proto.Message) []byte {
	out, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(b, m)
	if err != nil {
		panic(fmt.Sprintf("ledger: encode %T: %v", m, err))
	}
	return out
}

// mustUnmarshal decodes a record that this package encoded or checked at Restore.
func mustUnmarshal(record string, m proto.Message) {
	if err := proto.Unmarshal([]byte(record), m); err != nil {
		panic(fmt.Sprintf("ledger: decode %T: %v", m, err))
	}
}

// appendEvent adds a sentence and keeps the first and the newest ones.
func appendEvent(events []*wire.OrderEvent, limit int, at step, text string) []*wire.OrderEvent {
	events = append(events, &wire.OrderEvent{AtMs: at.nowMS, Text: text})
	if excess := len(events) - limit; excess > 0 {
		events = append(events[:1], events[1+excess:]...)
	}
	return events
}
