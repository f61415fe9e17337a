package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/cardamomline/cardamomline/internal/wire"
)

// Field numbers of wire.OrderRecord for reading fields without decoding the record.
const (
	orderCustomerField = 1
	orderIDField       = 2
	orderStateField    = 4
	orderSettledField  = 14
	orderDeadlineField = 20
)

// orders stores the order records. An encoded record starts with the customer and the
// order id, so that a prefix of the record is its key.
type orders struct {
	options    Options
	table      *table
	unresolved map[uint64]int64 // slot to deadline of unresolved orders, unknownOutcome for an unknown outcome
	final      schedule         // by settled_ms
}

// unknownOutcome marks orders with an unknown outcome in orders.unresolved.
const unknownOutcome = -1

func newOrders(o Options) *orders {
	return &orders{options: o, table: newTable(), unresolved: map[uint64]int64{}}
}

func appendOrderKey(b []byte, customer, orderID string) []byte {
	b = protowire.AppendTag(b, orderCustomerField, protowire.BytesType)
	b = protowire.AppendString(b, customer)
	b = protowire.AppendTag(b, orderIDField, protowire.BytesType)
	return protowire.AppendString(b, orderID)
}

// encodeOrder returns the encoded record and the prefix of it that is the key.
func encodeOrder(r *wire.OrderRecord) (key, record string) {
	customer, orderID := r.Customer, r.OrderId
	b := appendOrderKey(make([]byte, 0, proto.Size(r)), customer, orderID)
	n := len(b)
	r.Customer, r.OrderId = "", ""
	record = string(appendMessage(b, r))
	r.Customer, r.OrderId = customer, orderID
	return record[:n], record
}

func decodeOrder(record string) *wire.OrderRecord {
	r := &wire.OrderRecord{}
	mustUnmarshal(record, r)
	return r
}

func (o *orders) slot(customer, orderID string) (uint64, bool) {
	var buf [128]byte
	return o.table.find(appendOrderKey(buf[:0], customer, orderID))
}

// find returns the encoded record of an order, or "" if there is none.
func (o *orders) find(customer, orderID string) string {
	slot, ok := o.slot(customer, orderID)
	if !ok {
		return ""
	}
	return o.table.at(slot)
}

func (o *orders) claim(pos logPosition, c *wire.ClaimOrder) *wire.Result {
	if field := firstMissing("customer", c.GetCustomer(), "order id", c.GetOrderId(), "attempt", c.GetAttempt(), "agent", c.GetAgent(), "incarnation", c.GetIncarnation()); field != "" {
		return rejectInvalid(field)
	}
	slot, ok := o.slot(c.GetCustomer(), c.GetOrderId())
	if !ok {
		r := newClaim(pos, c, nil)
		o.addEvent(pos, r, claimText(c))
		key, record := encodeOrder(r)
		o.track(o.table.insert(key, record), r)
		return &wire.Result{Order: r}
	}
	r := decodeOrder(o.table.at(slot))
	if refusal := checkClaim(r, c); refusal != nil {
		refusal.Order = r
		return refusal
	}
	if r.GetState() == wire.OrderState_ORDER_STATE_CLAIMED {
		return &wire.Result{Order: r, Repeated: true}
	}
	r = newClaim(pos, c, r.GetEvents())
	o.addEvent(pos, r, claimText(c))
	o.store(slot, r)
	return &wire.Result{Order: r}
}

func newClaim(pos logPosition, c *wire.ClaimOrder, events []*wire.OrderEvent) *wire.OrderRecord {
	return &wire.OrderRecord{
		Customer:     c.GetCustomer(),
		OrderId:      c.GetOrderId(),
		BodyHash:     c.GetBodyHash(),
		State:        wire.OrderState_ORDER_STATE_CLAIMED,
		Attempt:      c.GetAttempt(),
		Agent:        c.GetAgent(),
		Incarnation:  c.GetIncarnation(),
		AgentAddress: c.GetAgentAddress(),
		Service:      c.GetService(),
		Operation:    c.GetOperation(),
		ClaimedMs:    pos.nowMS,
		Entry:        c.GetEntry(),
		Request:      c.GetRequest(),
		ClaimIndex:   pos.index,
		DeadlineMs:   c.GetDeadlineMs(),
		Events:       events,
	}
}

func claimText(c *wire.ClaimOrder) string {
	return fmt.Sprintf("Claimed by %s for attempt %s at %s.", entryName(c.GetEntry()), c.GetAttempt(), c.GetAgent())
}

// checkClaim returns nil if the claim of an existing order may be granted: either
// the order didn't run and the attempt is new, or the claim is a retry.
func checkClaim(r *wire.OrderRecord, c *wire.ClaimOrder) *wire.Result {
	if !bytes.Equal(r.GetBodyHash(), c.GetBodyHash()) {
		return reject(RefusedBodyMismatch, "Order %s of %s was already placed with another content; a new order needs a new id.", r.GetOrderId(), r.GetCustomer())
	}
	sameAttempt := r.GetAttempt() == c.GetAttempt()
	if r.GetState() == wire.OrderState_ORDER_STATE_NOT_RUN {
		if sameAttempt {
			return reject(RefusedAttemptUsed, "Attempt %s of order %s was recorded as not run and can't be used again.", r.GetAttempt(), r.GetOrderId())
		}
		return nil
	}
	retry := sameAttempt && r.GetAgent() == c.GetAgent() && r.GetIncarnation() == c.GetIncarnation()
	if retry && r.GetState() == wire.OrderState_ORDER_STATE_CLAIMED {
		return nil
	}
	return reject(RefusedOrderExists, "Order %s of %s is already recorded: %s (attempt %s at %s).", r.GetOrderId(), r.GetCustomer(), stateText(r.GetState()), r.GetAttempt(), r.GetAgent())
}

// record stores the outcome of an attempt. It rejects the outcome of any attempt but the
// one that the order is recorded for.
func (o *orders) record(pos logPosition, c *wire.RecordOutcome) *wire.Result {
	if !isOutcome(c.GetState()) {
		return rejectInvalid("outcome (done, failed, not run or unknown)")
	}
	slot, ok := o.slot(c.GetCustomer(), c.GetOrderId())
	if !ok {
		return rejectUnknownOrder(c.GetCustomer(), c.GetOrderId())
	}
	r := decodeOrder(o.table.at(slot))
	if r.GetAttempt() != c.GetAttempt() {
		result := reject(RefusedAttemptMismatch, "Order %s of %s is recorded for attempt %s, so an outcome of attempt %s doesn't count.", r.GetOrderId(), r.GetCustomer(), r.GetAttempt(), c.GetAttempt())
		result.Order = r
		return result
	}
	if r.GetState() == c.GetState() && (isUnresolved(r.GetState()) || bytes.Equal(r.GetResult(), c.GetResult())) {
		return &wire.Result{Order: r, Repeated: true}
	}
	if !isUnresolved(r.GetState()) {
		return rejectSettled(r)
	}
	r.State, r.Result, r.Reason = c.GetState(), c.GetResult(), c.GetReason()
	o.addEvent(pos, r, outcomeText("Attempt "+c.GetAttempt()+" was recorded as", c.GetState(), c.GetReason()))
	o.finish(pos, r)
	o.store(slot, r)
	return &wire.Result{Order: r}
}

// settle stores an operator's decision on an order with an unknown outcome, or on an
// order that is still claimed after its deadline.
func (o *orders) settle(pos logPosition, c *wire.SettleOrder) *wire.Result {
	if !isOutcome(c.GetState()) || c.GetState() == wire.OrderState_ORDER_STATE_UNKNOWN {
		return rejectInvalid("outcome (done, failed or not run)")
	}
	if field := firstMissing("operator", c.GetOperator()); field != "" {
		return rejectInvalid(field)
	}
	slot, ok := o.slot(c.GetCustomer(), c.GetOrderId())
	if !ok {
		return rejectUnknownOrder(c.GetCustomer(), c.GetOrderId())
	}
	r := decodeOrder(o.table.at(slot))
	if !isUnresolved(r.GetState()) {
		if r.GetState() == c.GetState() && r.GetSettledBy() == c.GetOperator() && bytes.Equal(r.GetResult(), c.GetResult()) {
			return &wire.Result{Order: r, Repeated: true}
		}
		return rejectSettled(r)
	}
	if r.GetState() == wire.OrderState_ORDER_STATE_CLAIMED && !overdue(r.GetDeadlineMs(), pos.nowMS) {
		result := reject(RefusedOrderInProgress, "Order %s of %s is still in progress at %s and can be settled by hand only after its deadline.", r.GetOrderId(), r.GetCustomer(), r.GetAgent())
		result.Order = r
		return result
	}
	r.State, r.Result, r.Reason, r.SettledBy = c.GetState(), c.GetResult(), c.GetReason(), c.GetOperator()
	o.addEvent(pos, r, outcomeText(c.GetOperator()+" settled the order as", c.GetState(), c.GetReason()))
	o.finish(pos, r)
	o.store(slot, r)
	return &wire.Result{Order: r}
}

func rejectUnknownOrder(customer, orderID string) *wire.Result {
	return reject(RefusedOrderUnknown, "There is no record of order %s of %s.", orderID, customer)
}

func rejectSettled(r *wire.OrderRecord) *wire.Result {
	by := ""
	if r.GetSettledBy() != "" {
		by = " by " + r.GetSettledBy()
	}
	result := reject(RefusedOrderSettled, "Order %s of %s was already recorded as %s%s, which is final.", r.GetOrderId(), r.GetCustomer(), stateText(r.GetState()), by)
	result.Order = r
	return result
}

// finish sets the time of a final outcome.
func (o *orders) finish(pos logPosition, r *wire.OrderRecord) {
	if !isUnresolved(r.GetState()) {
		r.SettledMs = pos.nowMS
	}
}

// store replaces a record and updates the indexes of unresolved and final orders.
func (o *orders) store(slot uint64, r *wire.OrderRecord) {
	key, record := encodeOrder(r)
	o.table.replace(slot, key, record)
	o.track(slot, r)
}

func (o *orders) track(slot uint64, r *wire.OrderRecord) {
	o.trackState(slot, r.GetState(), r.GetSettledMs(), r.GetDeadlineMs())
}

func (o *orders) trackState(slot uint64, s wire.OrderState, settledMS, deadlineMS int64) {
	switch {
	case s == wire.OrderState_ORDER_STATE_UNKNOWN:
		o.unresolved[slot] = unknownOutcome
	case isUnresolved(s):
		o.unresolved[slot] = deadlineMS
	default:
		delete(o.unresolved, slot)
		o.final.push(entry{atMS: settledMS, slot: slot})
	}
}

func (o *orders) addEvent(pos logPosition, r *wire.OrderRecord, text string) {
	r.Events = appendEvent(r.Events, o.options.MaxEvents, pos, text)
}

// expire removes at most limit final orders that were settled before beforeMS.
func (o *orders) expire(beforeMS int64, limit int) int {
	n := 0
	for n < limit {
		e, ok := o.final.peek()
		if !ok || e.atMS >= beforeMS {
			break
		}
		o.final.pop()
		record := o.table.at(e.slot)
		h, ok := readOrderHeader(record)
		// If the order was claimed again after this entry was pushed, its state or time differs.
		if !ok || isUnresolved(h.state) || h.settledMS != e.atMS {
			continue
		}
		o.table.remove(e.slot, record[:h.keyLength])
		n++
	}
	return n
}

// unsettled returns the encoded records that an operator has to resolve, oldest first.
func (o *orders) unsettled(nowMS int64, limit int) []string {
	slots := make([]uint64, 0, len(o.unresolved))
	for slot, deadline := range o.unresolved {
		if deadline == unknownOutcome || overdue(deadline, nowMS) {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	slots = slots[:min(max(limit, 0), len(slots))]
	out := make([]string, 0, len(slots))
	for _, slot := range slots {
		out = append(out, o.table.at(slot))
	}
	return out
}

// overdue reports whether a deadline has passed; 0 means no deadline.
func overdue(deadlineMS, nowMS int64) bool {
	return deadlineMS > 0 && deadlineMS < nowMS
}

// isUnresolved reports whether an order has no final outcome yet.
func isUnresolved(s wire.OrderState) bool {
	return s == wire.OrderState_ORDER_STATE_CLAIMED || s == wire.OrderState_ORDER_STATE_UNKNOWN
}

func isOutcome(s wire.OrderState) bool {
	switch s {
	case wire.OrderState_ORDER_STATE_DONE, wire.OrderState_ORDER_STATE_FAILED, wire.OrderState_ORDER_STATE_NOT_RUN, wire.OrderState_ORDER_STATE_UNKNOWN:
		return true
	default:
		return false
	}
}

// stateText returns the display text of a state, for example "not run".
func stateText(s wire.OrderState) string {
	name := strings.TrimPrefix(s.String(), "ORDER_STATE_")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}

func outcomeText(lead string, s wire.OrderState, reason string) string {
	if reason == "" {
		return lead + " " + stateText(s) + "."
	}
	return lead + " " + stateText(s) + " (" + strings.ReplaceAll(reason, "_", " ") + ")."
}

func entryName(name string) string {
	if name == "" {
		return "an unnamed entry"
	}
	return name
}

// orderHeader contains the fields of an order record that expiry and restore need.
type orderHeader struct {
	keyLength  int
	state      wire.OrderState
	settledMS  int64
	deadlineMS int64
}

// readOrderHeader reads the header fields of a record without decoding the rest. It
// returns false if the record isn't a valid message that starts with its key.
func readOrderHeader(record string) (orderHeader, bool) {
	var h orderHeader
	b := []byte(record)
	previous := protowire.Number(0)
	for pos := 0; pos < len(b); {
		number, kind, tag := protowire.ConsumeTag(b[pos:])
		if tag < 0 {
			return h, false
		}
		value := b[pos+tag:]
		n := protowire.ConsumeFieldValue(number, kind, value)
		if n < 0 {
			return h, false
		}
		pos += tag + n
		switch number {
		case orderIDField:
			if previous == orderCustomerField {
				h.keyLength = pos
			}
		case orderStateField:
			h.state = wire.OrderState(varint(value))
		case orderSettledField:
			h.settledMS = int64(varint(value))
		case orderDeadlineField:
			h.deadlineMS = int64(varint(value))
		}
		previous = number
	}
	return h, h.keyLength > 0
}

func varint(b []byte) uint64 {
	v, _ := protowire.ConsumeVarint(b)
	return v
}
