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
	at := m.mark
	at.path = &path{parent: m.mark.path, key: key}
	return Value{r: m.r, mark: at}
}

// Required returns the value of the key; its absence is a fault.
func (m Mapping) Required(key string) Value {
	v := m.Optional(key)
	if m.present && !v.Present() {
		m.r.Fail(m.mark, "no key "+key, "the required key "+key)
	}
	return v
}

func (m *Mapping) add(pair *ast.MappingValueNode, keys []string) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		m.r.Fail(nodeMark(pair.Key, m.mark.path), "a key that isn't plain text", "one of the keys "+strings.Join(keys, ", "))
		return
	}
	if !slices.Contains(keys, key.Value) {
		m.r.Fail(nodeMark(key, m.mark.path), "the unknown key "+quote(key.Value), "one of the keys "+strings.Join(keys, ", "))
		return
	}
	for _, kv := range m.values {
		if kv.key == key.Value {
			m.r.Fail(nodeMark(key, m.mark.path), "the key "+key.Value+" a second time", "each key once")
			return
		}
	}
	p := &path{parent: m.mark.path, key: key.Value}
	m.values = append(m.values, keyValue{key: key.Value, value: Value{r: m.r, node: pair.Value, mark: nodeMark(pair.Value, p)}})
}
