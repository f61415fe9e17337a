// Package eventstream finds the events in the bytes of a text/event-stream response. It follows
// the line format of the HTML standard: lines end with LF, CR or CRLF, a blank line ends an
// event, and only a line that begins with a field's name is that field.
//
// # Usage
//
//	var p eventstream.Position
//	pending = append(pending, received...)
//	events := eventstream.Scan(pending)
//	p.Advance(events)
//	pending = pending[events.End():]
//	if p.Resumable() {
//		header.Set("Last-Event-Id", p.LastID())
//	}
package eventstream

import "bytes"

// Events describes the whole events at the start of a buffer.
type Events struct {
	end     int
	hasData bool
	lastID  string
	// dataAfterID is set if an event with data has no id of its own and follows the last id.
	dataAfterID bool
}

// End returns the position after the last whole event; 0 if there is none.
func (e Events) End() int { return e.end }

// HasData reports whether an event has a data field. Comments and empty events keep a connection
// open, but are no progress.
func (e Events) HasData() bool { return e.hasData }

// Scan returns the whole events at the start of b. A CR ends a line at once: if an LF follows in
// bytes that are yet to come, it makes an empty line there, which changes nothing.
func Scan(b []byte) Events {
	var e, event Events
	for at := 0; at < len(b); {
		n := bytes.IndexAny(b[at:], "\r\n")
		if n < 0 {
			break
		}
		line := b[at : at+n]
		at += n + 1
		if b[at-1] == '\r' && at < len(b) && b[at] == '\n' {
			at++
		}
		if len(line) > 0 {
			event.addLine(line)
			continue
		}
		event.end = at
		e.add(event)
		event = Events{}
	}
	return e
}

// addLine reads a line of an event.
func (e *Events) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		e.hasData = true
	case "id":
		if id := string(bytes.TrimPrefix(value, []byte(" "))); isHeaderValue(id) {
			e.lastID = id
		}
	}
}

// add appends a whole event.
func (e *Events) add(event Events) {
	e.end = event.end
	e.hasData = e.hasData || event.hasData
	switch {
	case event.lastID != "":
		e.lastID, e.dataAfterID = event.lastID, false
	case event.hasData:
		e.dataAfterID = true
	}
}

// isHeaderValue reports whether an id can be sent unchanged in a header.
func isHeaderValue(id string) bool {
	for i := range len(id) {
		if id[i] < ' ' || id[i] == 0x7f {
			return false
		}
	}
	return id != "" && id[0] != ' ' && id[len(id)-1] != ' '
}

// Position is how far a stream has come. The zero value is its start.
type Position struct {
	lastID  string
	unnamed bool // events that no id covers have passed
}

// Advance moves the position past events.
func (p *Position) Advance(e Events) {
	if e.lastID != "" {
		p.lastID, p.unnamed = e.lastID, false
	}
	p.unnamed = p.unnamed || e.dataAfterID
}

// LastID returns the id of the last event that has one.
func (p *Position) LastID() string { return p.lastID }

// Resumable reports whether another run that goes on after LastID repeats nothing.
func (p *Position) Resumable() bool { return !p.unnamed }
