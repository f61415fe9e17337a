package strictyaml

import (
	"strconv"
	"strings"
)

// Mark is a place in a file; the zero value is the start of the file. The path is built only when it is asked for,
// because a large file has many marks and few faults.
type Mark struct {
	line   int32
	column int32
	path   *path
}

// Line returns the line, counted from 1.
func (m Mark) Line() int { return max(1, int(m.line)) }

// Column returns the column in characters, counted from 1.
func (m Mark) Column() int { return max(1, int(m.column)) }

// Path returns the place in the document, such as customers[2].rate.
func (m Mark) Path() string {
	return m.path.String()
}

type path struct {
	parent *path
	key    string
	index  int
}

// String renders the path from the root.
func (p *path) String() string {
	var steps []string
	for ; p != nil; p = p.parent {
		if p.key == "" {
			steps = append(steps, "["+strconv.Itoa(p.index)+"]")
			continue
		}
		steps = append(steps, "."+p.key)
	}
	var b strings.Builder
	for i := len(steps) - 1; i >= 0; i-- {
		b.WriteString(steps[i])
	}
	return strings.TrimPrefix(b.String(), ".")
}
