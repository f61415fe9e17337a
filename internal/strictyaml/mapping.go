package strictyaml

import (
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Mapping is a decoded mapping.
type Mapping struct {
	r       *Reader
	mark    Mark
	values  []keyValue
	present bool
}

type keyValue struct {
	key   string
	value Value
}

// Present reports whether the file has a mapping here.
func (m Mapping) Present() bool { return m.present }

// Mark returns the place of the mapping.
func (m Mapping) Mark() Mark { return m.mark }

// Optional returns the value of the key, which may be absent.
func (m Mapping) Optional(key string) Value {
	for _, kv := range m.values {
		if kv.key == key {
			return kv.value
		}
	}
	return Value{r: m.r, mark: m.mark}
}

// Required returns the value of the key; its absence is a fault.
func (m Mapping) Required(key string) Value {
	v := m.Optional(key)
	if m.present && !v.Present() {
		m.r.Fail(m.mark, "a mapping without "+quote(key), "the required key "+quote(key))
	}
	return v
}

func (m *Mapping) addSections(sections []section, keys []string) {
	m.present = true
	for _, s := range sections {
		at := Mark{line: s.line, column: 1, path: m.mark.path}
		if !m.accept(s.key, at, keys) {
			continue
		}
		if items := splitItems(s); items != nil {
			at.line = items[0].lines + 1
			at.column = int32(len(items[0].text)-len(strings.TrimLeft(string(items[0].text), " "))) + 1
			at.path = &path{parent: m.mark.path, key: s.key}
			m.values = append(m.values, keyValue{key: s.key, value: Value{r: m.r, mark: at, pieces: items}})
			continue
		}
		lines := s.line - 1
		parsed := m.r.parse(s.text, lines)
		if parsed == nil {
			continue // the fault is recorded
		}
		node, ok := parsed.(*ast.MappingNode)
		if !ok || len(node.Values) != 1 {
			m.r.failSyntax(at, "a section that can't be read", "the key "+s.key+" with one value")
			continue
		}
		m.append(s.key, node.Values[0].Value, lines)
	}
}

func (m *Mapping) addPair(pair *ast.MappingValueNode, keys []string, lines int32) {
	at := m.r.value(pair.Key, m.mark.path, lines).mark
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		m.r.Fail(at, "a key that isn't plain text", "one of the keys "+strings.Join(keys, ", "))
		return
	}
	if m.accept(key.Value, at, keys) {
		m.append(key.Value, pair.Value, lines)
	}
}

// accept reports whether the key is known and new.
func (m *Mapping) accept(key string, at Mark, keys []string) bool {
	if !slices.Contains(keys, key) {
		m.r.Fail(at, "the unknown key "+quote(key), "one of the keys "+strings.Join(keys, ", "))
		return false
	}
	for _, kv := range m.values {
		if kv.key == key {
			m.r.Fail(at, "the key "+key+" a second time", "each key once")
			return false
		}
	}
	return true
}

func (m *Mapping) append(key string, n ast.Node, lines int32) {
	v := m.r.value(n, &path{parent: m.mark.path, key: key}, lines)
	m.values = append(m.values, keyValue{key: key, value: v})
}
