package strictyaml

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// Value is one value of a file, or the absence of one. The methods that decode
// it record a fault and return the zero value when the file has something else.
type Value struct {
	r     *Reader
	node  ast.Node
	mark  Mark
	lines int32 // number of lines before the piece that the node was parsed from

	sections []section // of the root, when it isn't parsed yet
	pieces   []piece   // of a sequence that isn't parsed yet
}

// Present reports whether the file has a value here.
func (v Value) Present() bool {
	return v.node != nil || v.sections != nil || v.pieces != nil
}

// Mark returns the place of the value, or of the mapping that lacks it.
func (v Value) Mark() Mark { return v.mark }

// Mapping decodes a mapping. A key that isn't listed or is doubled is a fault.
func (v Value) Mapping(keys ...string) Mapping {
	m := Mapping{r: v.r, mark: v.mark}
	if !v.Present() {
		return m
	}
	if v.sections != nil {
		m.addSections(v.sections, keys)
		return m
	}
	node, ok := v.node.(*ast.MappingNode)
	if !ok {
		v.fail("a mapping with the keys " + strings.Join(keys, ", "))
		return m
	}
	m.present = true
	m.values = make([]keyValue, 0, len(node.Values))
	for _, pair := range node.Values {
		m.addPair(pair, keys, v.lines)
	}
	return m
}

// Text decodes a string for which accept is true. Expected describes such a string.
func (v Value) Text(accept func(string) bool, expected string) string {
	s, ok := v.scalar()
	if !ok {
		v.fail(expected)
		return ""
	}
	if v.Present() && !accept(s) {
		v.fail(expected)
		return ""
	}
	return s
}

// Secret decodes like Text, and its faults don't show the value.
func (v Value) Secret(accept func(string) bool, expected string) string {
	s, ok := v.scalar()
	if !ok {
		v.fail(expected)
		return ""
	}
	if v.Present() && !accept(s) {
		v.Fail("a secret that isn't accepted", expected)
		return ""
	}
	return s
}

// OneOf decodes a string that is one of the choices.
func (v Value) OneOf(choices ...string) string {
	return v.Text(func(s string) bool {
		for _, c := range choices {
			if s == c {
				return true
			}
		}
		return false
	}, "one of "+strings.Join(choices, ", "))
}

// OneOfOr decodes like OneOf and returns fallback when the value is absent.
func (v Value) OneOfOr(fallback string, choices ...string) string {
	if !v.Present() {
		return fallback
	}
	return v.OneOf(choices...)
}

// Bool decodes true or false.
func (v Value) Bool() bool {
	if !v.Present() {
		return false
	}
	b, ok := v.node.(*ast.BoolNode)
	if !ok {
		v.fail("true or false")
		return false
	}
	return b.Value
}

// Int decodes a decimal whole number within the bounds.
func (v Value) Int(least, most int) int {
	if !v.Present() {
		return 0
	}
	expected := fmt.Sprintf("a whole number from %d to %d", least, most)
	if least == most {
		expected = fmt.Sprintf("the number %d", least)
	}
	n, ok := v.node.(*ast.IntegerNode)
	if !ok {
		v.fail(expected)
		return 0
	}
	text := n.GetToken().Value
	i, err := strconv.Atoi(text)
	if err != nil || i < least || i > most || strconv.Itoa(i) != text {
		v.fail(expected)
		return 0
	}
	return i
}

// IntOr decodes like Int and returns fallback when the value is absent.
func (v Value) IntOr(fallback, least, most int) int {
	if !v.Present() {
		return fallback
	}
	return v.Int(least, most)
}

// Duration decodes a duration with a unit, such as 250ms, within the bounds.
func (v Value) Duration(least, most time.Duration) time.Duration {
	expected := fmt.Sprintf("a duration from %s to %s", FormatDuration(least), FormatDuration(most))
	return unit(v, least, most, ParseDuration, expected)
}

// DurationOr decodes like Duration and returns fallback when the value is absent.
func (v Value) DurationOr(fallback, least, most time.Duration) time.Duration {
	if !v.Present() {
		return fallback
	}
	return v.Duration(least, most)
}

// Size decodes a number of bytes with a unit, such as 8GB, within the bounds.
func (v Value) Size(least, most Size) Size {
	return unit(v, least, most, ParseSize, fmt.Sprintf("a size from %s to %s", least, most))
}

// Rate decodes a number per second, such as 50 or 90/m, within the bounds.
func (v Value) Rate(least, most Rate) Rate {
	return unit(v, least, most, ParseRate, fmt.Sprintf("a rate from %s to %s a second, such as 50, 50/s or 90/m", least, most))
}

// RateOr decodes like Rate and returns fallback when the value is absent.
func (v Value) RateOr(fallback, least, most Rate) Rate {
	if !v.Present() {
		return fallback
	}
	return v.Rate(least, most)
}

// Fail records a fault at the value.
func (v Value) Fail(found, expected string) {
	v.r.Fail(v.mark, found, expected)
}

func unit[T ~int64 | ~float64](v Value, least, most T, parse func(string) (T, error), expected string) T {
	if !v.Present() {
		return 0
	}
	text, ok := v.scalar()
	if !ok {
		v.fail(expected)
		return 0
	}
	t, err := parse(text)
	if err != nil {
		v.fail(expected + ": " + err.Error())
		return 0
	}
	if t < least || t > most {
		v.fail(expected)
		return 0
	}
	return t
}

// scalar returns the text of a plain or quoted scalar as it stands in the file.
func (v Value) scalar() (string, bool) {
	if !v.Present() {
		return "", true
	}
	switch n := v.node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	}
	return "", false
}

func (v Value) fail(expected string) {
	found := describe(v.node)
	switch {
	case v.sections != nil:
		found = "a mapping"
	case v.pieces != nil:
		found = "a sequence"
	}
	v.Fail(found, expected)
}

func describe(n ast.Node) string {
	switch n := n.(type) {
	case *ast.MappingNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a sequence"
	case *ast.NullNode:
		return "no value"
	case *ast.StringNode:
		if t := n.GetToken().Type; t == token.SingleQuoteType || t == token.DoubleQuoteType {
			return "the quoted text " + quote(n.Value)
		}
		return quote(n.Value)
	case *ast.BoolNode, *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value
	}
	return "a value of another kind"
}

func quote(s string) string {
	const longest = 60
	if runes := []rune(s); len(runes) > longest {
		s = string(runes[:longest]) + "..."
	}
	return strconv.Quote(s)
}
