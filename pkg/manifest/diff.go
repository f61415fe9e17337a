package manifest

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two manifests: *Added, *Removed or *Changed.
// String renders it as a sentence without a full stop. Customer keys are secret
// and never part of a change.
type Change interface {
	fmt.Stringer
	// Item returns what the change is about.
	Item() Item
	change()
}

// Item names a part of a manifest.
type Item struct {
	kind   string
	name   string
	within string
}

// Kind returns manifest, class, customer, model, service, operation, pipeline or stage.
func (i Item) Kind() string { return i.kind }

// Name returns the name of the part; it is empty for the manifest itself.
func (i Item) Name() string { return i.name }

// Within returns the service of an operation or the pipeline of a stage, and is
// empty for other parts.
func (i Item) Within() string { return i.within }

// String renders the item, such as: operation release_fuel of service orders-core.
func (i Item) String() string {
	switch i.kind {
	case kindManifest:
		return i.kind
	case kindOperation:
		return i.kind + " " + i.name + " of service " + i.within
	case kindStage:
		return i.kind + " " + i.name + " of pipeline " + i.within
	}
	return i.kind + " " + i.name
}

const (
	kindManifest  = "manifest"
	kindClass     = "class"
	kindCustomer  = "customer"
	kindModel     = "model"
	kindService   = "service"
	kindOperation = "operation"
	kindPipeline  = "pipeline"
	kindStage     = "stage"
)

// Added is an item that only the new manifest has.
type Added struct {
	item   Item
	fields string
}

// Item implements Change.
func (c *Added) Item() Item { return c.item }

// String implements Change.
func (c *Added) String() string {
	return fmt.Sprintf("%s is added with %s", c.item, c.fields)
}

func (c *Added) change() {}

// Removed is an item that only the old manifest has.
type Removed struct {
	item Item
}

// Item implements Change.
func (c *Removed) Item() Item { return c.item }

// String implements Change.
func (c *Removed) String() string {
	return fmt.Sprintf("%s is removed", c.item)
}

func (c *Removed) change() {}

// Changed is a field that differs.
type Changed struct {
	item   Item
	field  string
	before string
	after  string
}

// Item implements Change.
func (c *Changed) Item() Item { return c.item }

// Field returns the key of the field as the manifest writes it, or "stage order".
func (c *Changed) Field() string { return c.field }

// Old returns the value in the old manifest; it is empty for a secret.
func (c *Changed) Old() string { return c.before }

// New returns the value in the new manifest; it is empty for a secret.
func (c *Changed) New() string { return c.after }

// String implements Change.
func (c *Changed) String() string {
	if c.before == "" && c.after == "" {
		return fmt.Sprintf("%s: %s changes (a secret, not shown)", c.item, c.field)
	}
	return fmt.Sprintf("%s: %s changes from %s to %s", c.item, c.field, orNone(c.before), orNone(c.after))
}

func (c *Changed) change() {}

// Diff returns the changes that lead from a to b, section by section. Where the
// order of items has no meaning, a different order is no change.
func Diff(a, b *Manifest) []Change {
	d := &differ{}
	d.compare(Item{kind: kindManifest}, a.fields(), b.fields())
	diffItems(d, kindClass, "", a.classes, b.classes, nil)
	diffItems(d, kindCustomer, "", a.customers, b.customers, nil)
	diffItems(d, kindModel, "", a.models, b.models, nil)
	diffItems(d, kindService, "", a.services, b.services, d.operations)
	diffItems(d, kindPipeline, "", a.pipelines, b.pipelines, d.stages)
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) operations(a, b *Service) {
	diffItems(d, kindOperation, a.name, a.operations, b.operations, nil)
}

// stages also compares the order of the common stages, because the last stage
// gives the answer.
func (d *differ) stages(a, b *Pipeline) {
	before, after := commonOrder(a, b), commonOrder(b, a)
	if !slices.Equal(before, after) {
		d.changes = append(d.changes, &Changed{
			item:   Item{kind: kindPipeline, name: a.name},
			field:  "stage order",
			before: strings.Join(before, ", "),
			after:  strings.Join(after, ", "),
		})
	}
	diffItems(d, kindStage, a.name, a.stages, b.stages, nil)
}

func commonOrder(p, other *Pipeline) []string {
	var list []string
	for _, s := range p.stages {
		if _, ok := other.Stage(s.name); ok {
			list = append(list, s.name)
		}
	}
	return list
}

func (d *differ) compare(item Item, before, after []field) {
	for i, f := range before {
		if f.value == after[i].value {
			continue
		}
		c := &Changed{item: item, field: f.name}
		if !f.secret {
			c.before = f.value
			c.after = after[i].value
		}
		d.changes = append(d.changes, c)
	}
}

type named interface {
	comparable
	fielded
	Name() string
}

// diffItems compares two lists of items by name. Inner compares the parts of
// items that both lists have.
func diffItems[T named](d *differ, kind, within string, before, after []T, inner func(a, b T)) {
	byName := make(map[string]T, len(after))
	for _, b := range after {
		byName[b.Name()] = b
	}
	for _, a := range before {
		item := Item{kind: kind, name: a.Name(), within: within}
		b, ok := byName[a.Name()]
		if !ok {
			d.changes = append(d.changes, &Removed{item: item})
			continue
		}
		delete(byName, a.Name())
		if a == b {
			continue
		}
		d.compare(item, a.fields(), b.fields())
		if inner != nil {
			inner(a, b)
		}
	}
	for _, b := range after {
		if _, isNew := byName[b.Name()]; isNew {
			d.changes = append(d.changes, &Added{item: Item{kind: kind, name: b.Name(), within: within}, fields: summary(b)})
		}
	}
}

// summary lists the fields of a new item and the names of its parts.
func summary(item fielded) string {
	var list []string
	for _, f := range item.fields() {
		if f.value != "" && f.name != "name" && !f.secret {
			list = append(list, f.name+" "+f.value)
		}
	}
	switch t := item.(type) {
	case *Service:
		list = append(list, "operations "+strings.Join(names(t.operations, (*Operation).Name), ", "))
	case *Pipeline:
		list = append(list, "stages "+strings.Join(names(t.stages, (*Stage).Name), ", "))
	}
	return strings.Join(list, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
