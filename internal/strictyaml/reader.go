// Package strictyaml reads YAML files that operators write by hand or generate,
// and refuses everything it doesn't understand.
//
// Unknown keys, doubled keys, wrong types and bad units are faults. Each fault
// states file, line, column, what was found and what was expected. All faults of
// a file are collected, so that an operator corrects them in one pass. Anchors,
// aliases, tags, merge keys, block scalars and several documents in one file are
// refused: they hide what a file says from a reader of a diff.
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
	"strconv"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Reader reads one file and collects its faults.
type Reader struct {
	file string
	errs Errors
}

// NewReader returns a Reader whose faults carry the file name.
func NewReader(file string) *Reader {
	return &Reader{file: file}
}

// Read parses the file and returns its root. The value is absent when the file
// is empty or isn't YAML; the fault is recorded.
func (r *Reader) Read(data []byte) Value {
	absent := Value{r: r, mark: Mark{line: 1, column: 1}}
	if c := firstControl(data); c >= 0 {
		r.Fail(markAt(data, c), fmt.Sprintf("the control character %#02x", data[c]), "printable text")
		return absent
	}
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.failSyntax(err)
		return absent
	}
	var body ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			r.Fail(nodeMark(doc.Body, nil), "a second document", "one document in a file")
			break
		}
		body = doc.Body
	}
	if body == nil {
		r.Fail(absent.mark, "an empty file", "a mapping of keys to values")
		return absent
	}
	return Value{r: r, node: body, mark: nodeMark(body, nil)}
}

// Fail records a fault at a place that was read earlier.
func (r *Reader) Fail(at Mark, found, expected string) {
	r.errs.add(&Error{file: r.file, mark: at, found: found, expected: expected})
}

// Err returns *Errors with all faults so far, or nil.
func (r *Reader) Err() error {
	if len(r.errs.list) == 0 {
		return nil
	}
	r.errs.sort()
	return &r.errs
}

func (r *Reader) failSyntax(err error) {
	at := Mark{line: 1, column: 1}
	found := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		found = syntax.Message
		if syntax.Token != nil && syntax.Token.Position != nil {
			at.line = int32(syntax.Token.Position.Line)
			at.column = int32(syntax.Token.Position.Column)
		}
	}
	r.Fail(at, "a syntax error: "+found, "YAML")
}

// firstControl returns the index of the first character that YAML doesn't
// allow, or -1.
func firstControl(data []byte) int {
	for i, c := range data {
		if c < 0x20 && c != '\n' && c != '\r' && c != '\t' || c == 0x7f {
			return i
		}
	}
	return -1
}

func markAt(data []byte, offset int) Mark {
	m := Mark{line: 1, column: 1}
	for _, c := range data[:offset] {
		m.column++
		if c == '\n' {
			m.line++
			m.column = 1
		}
	}
	return m
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

func quote(s string) string {
	const longest = 60
	if runes := []rune(s); len(runes) > longest {
		s = string(runes[:longest]) + "..."
	}
	return strconv.Quote(s)
}
