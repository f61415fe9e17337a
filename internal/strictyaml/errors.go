package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// maxErrors bounds what one file can report, so that a file of the wrong kind
// doesn't produce megabytes of messages.
const maxErrors = 100

// Error is one fault in a file.
type Error struct {
	file     string
	mark     Mark
	found    string
	expected string
}

// File returns the name under which the file was read.
func (e *Error) File() string { return e.file }

// Line returns the line, counted from 1.
func (e *Error) Line() int { return e.mark.Line() }

// Column returns the column in characters, counted from 1.
func (e *Error) Column() int { return e.mark.Column() }

// Path returns the place in the document, such as customers[2].rate.
// It is empty for the document as a whole.
func (e *Error) Path() string { return e.mark.Path() }

// Found returns what the file has at this place.
func (e *Error) Found() string { return e.found }

// Expected returns what the reader accepts at this place.
func (e *Error) Expected() string { return e.expected }

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", e.file, e.Line(), e.Column())
	if p := e.Path(); p != "" {
		b.WriteString(p)
		b.WriteString(": ")
	}
	fmt.Fprintf(&b, "found %s, expected %s", e.found, e.expected)
	return b.String()
}

// Errors holds all faults of one file, sorted by position.
type Errors struct {
	list    []*Error
	dropped int
}

// List returns the faults sorted by position.
func (e *Errors) List() []*Error { return e.list }

// Dropped returns the number of faults beyond the first 100, which aren't listed.
func (e *Errors) Dropped() int { return e.dropped }

// Error implements error with one line for each fault.
func (e *Errors) Error() string {
	lines := make([]string, 0, len(e.list)+1)
	for _, one := range e.list {
		lines = append(lines, one.Error())
	}
	if e.dropped > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.dropped))
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.As find a single *Error.
func (e *Errors) Unwrap() []error {
	list := make([]error, 0, len(e.list))
	for _, one := range e.list {
		list = append(list, one)
	}
	return list
}

func (e *Errors) add(one *Error) {
	if len(e.list) >= maxErrors {
		e.dropped++
		return
	}
	e.list = append(e.list, one)
}

func (e *Errors) sort() {
	sort.SliceStable(e.list, func(i, j int) bool {
		a, b := e.list[i].mark, e.list[j].mark
		if a.line != b.line {
			return a.line < b.line
		}
		return a.column < b.column
	})
}
