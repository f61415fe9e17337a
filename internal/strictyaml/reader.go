// Package strictyaml reads YAML files that operators write by hand or generate,
// and refuses everything it doesn't understand.
//
// Unknown keys, doubled keys, wrong types and bad units are faults. Each fault
// states file, line, column, what was found and what was expected. All faults of
// a file are collected, so that an operator corrects them in one pass. Anchors,
// aliases, tags, merge keys, block scalars and several documents in one file are
// refused: they hide what a file says from a reader of a diff.
//
// A file in the usual style, with its keys in the first column and one sequence
// item after the other, is parsed in pieces. The syntax tree of one piece is
// garbage before the next is read, which keeps the memory for a large file small.
//
// # Usage
//
//	r := strictyaml.NewReader("entry-1.yaml")
//	root := r.Read(data).Mapping("role", "name", "timeout")
//	role := root.Required("role").OneOf("entry", "agent")
//	timeout := root.Optional("timeout").DurationOr(time.Second, time.Millisecond, time.Hour)
//	if err := r.Err(); err != nil {
//		return err // *strictyaml.Errors
//	}
package strictyaml

import (
	"fmt"

	"github.com/goccy/go-yaml/ast"
)

// Reader reads one file and collects its faults.
type Reader struct {
	file   string
	errs   Errors
	broken bool
}

// NewReader returns a Reader whose faults carry the file name.
func NewReader(file string) *Reader {
	return &Reader{file: file}
}

// Read returns the root of the file. The value is absent when the file is empty
// or isn't YAML; the fault is recorded.
func (r *Reader) Read(data []byte) Value {
	absent := Value{r: r}
	if at, found := firstUnprintable(data); found != "" {
		r.failSyntax(at, found, "printable text in UTF-8")
		return absent
	}
	if sections := splitSections(data); sections != nil {
		return Value{r: r, sections: sections, mark: Mark{line: sections[0].line, column: 1}}
	}
	node := r.parse(data, 0)
	if node == nil {
		if !r.broken {
			r.Fail(absent.mark, "an empty file", "a mapping of keys to values")
		}
		return absent
	}
	return r.value(node, nil, 0)
}

// Fail records a fault at a place that was read earlier.
func (r *Reader) Fail(at Mark, found, expected string) {
	r.errs.add(&Error{file: r.file, mark: at, found: found, expected: expected})
}

// Broken reports whether a part of the file couldn't be read at all, so that
// decoded items may be missing.
func (r *Reader) Broken() bool { return r.broken }

// Err returns *Errors with all faults so far, or nil.
func (r *Reader) Err() error {
	if len(r.errs.list) == 0 {
		return nil
	}
	r.errs.sort()
	return &r.errs
}

func (r *Reader) failSyntax(at Mark, found, expected string) {
	r.broken = true
	r.Fail(at, found, expected)
}

// value wraps a node of a piece that starts after the given number of lines.
func (r *Reader) value(n ast.Node, p *path, lines int32) Value {
	m := nodeMark(n, p)
	m.line += lines
	return Value{r: r, node: n, mark: m, lines: lines}
}

func nodeMark(n ast.Node, p *path) Mark {
	if m, ok := n.(*ast.MappingNode); ok && !m.IsFlowStyle && len(m.Values) > 0 {
		n = m.Values[0].Key
	}
	tk := n.GetToken()
	if tk == nil || tk.Position == nil {
		return Mark{line: 1, column: 1, path: p}
	}
	return Mark{line: int32(tk.Position.Line), column: int32(tk.Position.Column), path: p}
}

func describeItems(n int) string {
	if n == 1 {
		return "1 item"
	}
	return fmt.Sprintf("%d items", n)
}
