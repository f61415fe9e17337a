package manifest

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// field is one key of an item as a manifest writes it. Rendering, comparison and
// digests share the list of fields, so that none of them can miss one.
type field struct {
	name   string
	value  string // empty when the key is left out
	secret bool
}

func (m *Manifest) fields() []field {
	return []field{
		{name: "policy", value: string(m.policy)},
		{name: "unconfirmed", value: string(m.unconfirmed)},
	}
}

func (c *Class) fields() []field {
	return []field{
		{name: "name", value: yamlText(c.name)},
		{name: "priority", value: strconv.Itoa(c.priority)},
		{name: "deadline", value: strictyaml.FormatDuration(c.deadline)},
		{name: "may_wait", value: strconv.FormatBool(c.mayWait)},
	}
}

func (c *Customer) fields() []field {
	return []field{
		{name: "name", value: yamlText(c.name)},
		{name: "key", value: yamlText(c.key), secret: true},
		{name: "weight", value: strconv.Itoa(c.weight)},
		{name: "max_concurrent", value: strconv.Itoa(c.maxConcurrent)},
		{name: "rate", value: strictyaml.Rate(c.rate).String()},
		{name: "default_class", value: yamlText(c.defaultClass)},
	}
}

func (m *Model) fields() []field {
	return []field{
		{name: "name", value: yamlText(m.name)},
		{name: "size", value: strictyaml.Size(m.size).String()},
	}
}

func (s *Service) fields() []field {
	return []field{
		{name: "name", value: yamlText(s.name)},
		{name: "kind", value: string(s.kind)},
		{name: "checks_fencing", value: strconv.FormatBool(s.checksFencing)},
		{name: "reports_load", value: strconv.FormatBool(s.reportsLoad)},
	}
}

func (o *Operation) fields() []field {
	return []field{
		{name: "name", value: yamlText(o.name)},
		{name: "idempotent", value: strconv.FormatBool(o.idempotent)},
		{name: "timeout", value: strictyaml.FormatDuration(o.timeout)},
	}
}

func (p *Pipeline) fields() []field {
	return []field{
		{name: "name", value: yamlText(p.name)},
		{name: "deadline", value: strictyaml.FormatDuration(p.deadline)},
		{name: "default_class", value: yamlText(p.defaultClass)},
	}
}

func (s *Stage) fields() []field {
	return []field{
		{name: "name", value: yamlText(s.name)},
		{name: "service", value: yamlText(s.service)},
		{name: "operation", value: yamlText(s.operation)},
		{name: "needs", value: yamlList(s.needs)},
		{name: "model", value: yamlText(s.model)},
		{name: "expected", value: strictyaml.FormatDuration(s.expected)},
	}
}

// Bytes renders the manifest in its canonical form: fixed order of keys, every
// default written out, no comments. Parse accepts it and returns an equal
// manifest. It contains the customer keys.
func (m *Manifest) Bytes() []byte {
	var b bytes.Buffer
	b.Grow(len(m.customers)*128 + 4096)
	m.writeGeneral(&b)
	writeItems(&b, "classes", m.classes)
	writeItems(&b, "customers", m.customers)
	writeItems(&b, "models", m.models)
	m.writeServices(&b)
	m.writePipelines(&b)
	return b.Bytes()
}

func (m *Manifest) writeGeneral(b *bytes.Buffer) {
	b.WriteString("version: " + strconv.Itoa(supportedVersion) + "\n")
	writeBlock(b, "", m.fields())
}

func (m *Manifest) writeServices(b *bytes.Buffer) {
	b.WriteString("services:\n")
	for _, s := range m.services {
		writeNested(b, s.fields(), "operations", s.operations)
	}
}

func (m *Manifest) writePipelines(b *bytes.Buffer) {
	if len(m.pipelines) == 0 {
		return
	}
	b.WriteString("pipelines:\n")
	for _, p := range m.pipelines {
		writeNested(b, p.fields(), "stages", p.stages)
	}
}

type fielded interface {
	fields() []field
}

// writeItems writes a section whose items have no parts.
func writeItems[T fielded](b *bytes.Buffer, key string, items []T) {
	if len(items) == 0 {
		return
	}
	b.WriteString(key + ":\n")
	for _, item := range items {
		writeFlow(b, "  ", item.fields())
	}
}

// writeNested writes an item and its parts.
func writeNested[T fielded](b *bytes.Buffer, fields []field, key string, parts []T) {
	writeBlock(b, "  - ", fields)
	b.WriteString("    " + key + ":\n")
	for _, part := range parts {
		writeFlow(b, "      ", part.fields())
	}
}

// writeBlock writes one line for each field. The first line starts with first,
// the others with as many spaces.
func writeBlock(b *bytes.Buffer, first string, fields []field) {
	indent := first
	for _, f := range fields {
		if f.value != "" {
			b.WriteString(indent + f.name + ": " + f.value + "\n")
			indent = strings.Repeat(" ", len(first))
		}
	}
}

// writeFlow writes the fields as one item on one line.
func writeFlow(b *bytes.Buffer, indent string, fields []field) {
	b.WriteString(indent + "- {")
	for i, f := range fields {
		if f.value == "" {
			continue
		}
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(f.name)
		b.WriteString(": ")
		b.WriteString(f.value)
	}
	b.WriteString("}\n")
}

// yamlText quotes text that a YAML reader could take for something else.
func yamlText(s string) string {
	switch s {
	case "":
		return ""
	case "true", "false", "null", "yes", "no", "on", "off", "y", "n":
		return strconv.Quote(s)
	}
	if isName(s) || isOperation(s) {
		return s
	}
	return strconv.Quote(s)
}

func yamlList(list []string) string {
	if len(list) == 0 {
		return ""
	}
	quoted := make([]string, 0, len(list))
	for _, s := range list {
		quoted = append(quoted, yamlText(s))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
