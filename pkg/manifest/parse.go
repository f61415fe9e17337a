package manifest

import (
	"fmt"
	"regexp"

	"github.com/go-faster/errors"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

var (
	namePattern      = regexp.MustCompile(`^[a-z][a-z0-9]*(-[a-z0-9]+)*$`)
	operationPattern = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)
)

// Load reads and checks the manifest in the file.
func Load(path string) (*Manifest, error) {
	data, err := strictyaml.ReadFile(path, MaxBytes)
	if err != nil {
		return nil, errors.Wrap(err, "load manifest")
	}
	return Parse(path, data)
}

// Parse reads and checks a manifest. Name is the file name for faults. The error
// is a *strictyaml.Errors that holds every fault with its position.
func Parse(name string, data []byte) (*Manifest, error) {
	return newParser(name).parse(data)
}

// ParseNext is Parse for a process that already has a manifest. It takes over
// the customers whose lines are the same in both files, because parsing them is
// nearly all of the time that a manifest with thousands of customers takes. The
// result is that of Parse, which it also is without a previous manifest.
func ParseNext(previous *Manifest, name string, data []byte) (*Manifest, error) {
	if previous == nil {
		return Parse(name, data)
	}
	p := newParser(name)
	p.known = previous.customerBySource
	m, err := p.parse(data)
	if err != nil && p.reused > 0 {
		// Positions aren't known for customers that were taken over.
		return Parse(name, data)
	}
	return m, err
}

func newParser(name string) *parser {
	return &parser{
		r: strictyaml.NewReader(name),
		m: &Manifest{customerBySource: map[Digest]*Customer{}},
	}
}

func (p *parser) parse(data []byte) (*Manifest, error) {
	if p.r.CheckSize(data, MaxBytes) {
		p.document(p.r.Read(data))
	}
	if err := p.r.Err(); err != nil {
		return nil, err
	}
	return p.m, nil
}

// parser decodes a manifest. Positions that the cross checks report are kept
// beside the decoded items, in the same order.
type parser struct {
	r *strictyaml.Reader
	m *Manifest

	known  map[Digest]*Customer // of the previous manifest
	reused int

	classAt    []strictyaml.Mark
	customerAt []customerMarks
	modelAt    []strictyaml.Mark
	serviceAt  []strictyaml.Mark
	pipelineAt []pipelineMarks
}

type customerMarks struct {
	name, key, class strictyaml.Mark
}

type pipelineMarks struct {
	name, class, deadline strictyaml.Mark
	stages                []stageMarks
}

type stageMarks struct {
	stage, name, service, operation, model strictyaml.Mark
	needs                                  []strictyaml.Mark
}

func (p *parser) document(v strictyaml.Value) {
	root := v.Mapping("version", "policy", "unconfirmed", "classes", "customers", "models", "services", "pipelines")
	if !root.Present() {
		return
	}
	root.Required("version").Int(supportedVersion, supportedVersion)
	p.m.policy = Policy(root.Optional("policy").OneOfOr(string(DefaultPolicy), string(PolicyAdaptive), string(PolicyBaseline)))
	p.m.unconfirmed = Unconfirmed(root.Optional("unconfirmed").OneOfOr(string(DefaultUnconfirmed), string(UnconfirmedServe), string(UnconfirmedRefuse)))
	for item := range root.Required("classes").Items(1, MaxClasses) {
		p.class(item.Value())
	}
	for item := range root.Required("customers").Items(1, MaxCustomers) {
		p.customerItem(item)
	}
	for item := range root.Optional("models").Items(0, MaxModels) {
		p.model(item.Value())
	}
	for item := range root.Required("services").Items(1, MaxServices) {
		p.service(item.Value())
	}
	for item := range root.Optional("pipelines").Items(0, MaxPipelines) {
		p.pipeline(item.Value())
	}
	if !p.r.Broken() {
		p.check()
	}
}

func (p *parser) class(v strictyaml.Value) {
	f := v.Mapping("name", "priority", "deadline", "may_wait")
	name := f.Required("name")
	p.classAt = append(p.classAt, name.Mark())
	p.m.classes = append(p.m.classes, &Class{
		name:     itemName(name),
		priority: f.Optional("priority").IntOr(DefaultPriority, 0, MaxPriority),
		deadline: f.Required("deadline").Duration(MinDeadline, MaxDeadline),
		mayWait:  f.Optional("may_wait").Bool(),
	})
}

// customerItem takes the customer over from the previous manifest when its lines
// are the same.
func (p *parser) customerItem(item strictyaml.Item) {
	source := item.Source()
	if source == nil {
		p.customer(item.Value())
		return
	}
	digest := digestOf(source)
	if c, ok := p.known[digest]; ok {
		p.reused++
		p.m.customers = append(p.m.customers, c)
		p.customerAt = append(p.customerAt, customerMarks{})
	} else {
		p.customer(item.Value())
	}
	p.m.customerBySource[digest] = p.m.customers[len(p.m.customers)-1]
}

func (p *parser) customer(v strictyaml.Value) {
	f := v.Mapping("name", "key", "weight", "max_concurrent", "rate", "default_class")
	name, key, class := f.Required("name"), f.Required("key"), f.Optional("default_class")
	p.customerAt = append(p.customerAt, customerMarks{name: name.Mark(), key: key.Mark(), class: class.Mark()})
	p.m.customers = append(p.m.customers, &Customer{
		name:          itemName(name),
		key:           key.Secret(isKey, fmt.Sprintf("1 to %d printable ASCII characters without spaces", MaxKey)),
		weight:        f.Optional("weight").IntOr(DefaultWeight, 1, MaxWeight),
		maxConcurrent: f.Optional("max_concurrent").IntOr(DefaultMaxConcurrent, 1, MaxConcurrent),
		rate:          float64(f.Optional("rate").RateOr(DefaultRate, MinRate, MaxRate)),
		defaultClass:  optionalName(class),
	})
}

func (p *parser) model(v strictyaml.Value) {
	f := v.Mapping("name", "size")
	name := f.Required("name")
	p.modelAt = append(p.modelAt, name.Mark())
	p.m.models = append(p.m.models, &Model{
		name: itemName(name),
		size: int64(f.Required("size").Size(minSize, maxSize)),
	})
}

func (p *parser) service(v strictyaml.Value) {
	f := v.Mapping("name", "kind", "checks_fencing", "reports_load", "operations")
	name := f.Required("name")
	s := &Service{
		name: itemName(name),
		kind: Kind(f.Required("kind").OneOf(string(KindEngine), string(KindEncoder), string(KindRetriever),
			string(KindReranker), string(KindService))),
		checksFencing: f.Optional("checks_fencing").Bool(),
		reportsLoad:   f.Optional("reports_load").Bool(),
	}
	for item := range f.Required("operations").Items(1, MaxOperations) {
		p.operation(s, item.Value())
	}
	p.serviceAt = append(p.serviceAt, name.Mark())
	p.m.services = append(p.m.services, s)
}

func (p *parser) operation(s *Service, v strictyaml.Value) {
	f := v.Mapping("name", "idempotent", "timeout")
	name := f.Required("name")
	o := &Operation{
		name:       operationName(name),
		idempotent: f.Required("idempotent").Bool(),
		timeout:    f.Optional("timeout").DurationOr(DefaultTimeout, MinStageTime, MaxStageTime),
	}
	if _, doubled := s.Operation(o.name); doubled && o.name != "" {
		p.doubled(name.Mark(), "operation", o.name)
	}
	s.operations = append(s.operations, o)
}

func (p *parser) pipeline(v strictyaml.Value) {
	f := v.Mapping("name", "deadline", "default_class", "stages")
	name, deadline, class := f.Required("name"), f.Required("deadline"), f.Required("default_class")
	at := pipelineMarks{name: name.Mark(), deadline: deadline.Mark(), class: class.Mark()}
	pipe := &Pipeline{
		name:         itemName(name),
		deadline:     deadline.Duration(MinDeadline, MaxDeadline),
		defaultClass: itemName(class),
	}
	for item := range f.Required("stages").Items(1, MaxStages) {
		s, marks := p.stage(item.Value())
		pipe.stages = append(pipe.stages, s)
		at.stages = append(at.stages, marks)
	}
	p.pipelineAt = append(p.pipelineAt, at)
	p.m.pipelines = append(p.m.pipelines, pipe)
}

func (p *parser) stage(v strictyaml.Value) (*Stage, stageMarks) {
	f := v.Mapping("name", "service", "operation", "needs", "model", "expected")
	name, service, operation, model := f.Required("name"), f.Required("service"), f.Required("operation"), f.Optional("model")
	at := stageMarks{stage: v.Mark(), name: name.Mark(), service: service.Mark(), operation: operation.Mark(), model: model.Mark()}
	s := &Stage{
		name:      itemName(name),
		service:   itemName(service),
		operation: operationName(operation),
		model:     optionalName(model),
		expected:  f.Required("expected").Duration(MinStageTime, MaxStageTime),
	}
	for item := range f.Optional("needs").Items(0, MaxStages) {
		need := item.Value()
		s.needs = append(s.needs, itemName(need))
		at.needs = append(at.needs, need.Mark())
	}
	return s, at
}

func itemName(v strictyaml.Value) string {
	return v.Text(isName, fmt.Sprintf("a name of up to %d lower-case letters, digits and single hyphens that starts with a letter", MaxName))
}

func optionalName(v strictyaml.Value) string {
	if !v.Present() {
		return ""
	}
	return itemName(v)
}

func operationName(v strictyaml.Value) string {
	return v.Text(isOperation, fmt.Sprintf("an operation of up to %d lower-case letters, digits and single underscores that starts with a letter", MaxName))
}

func isName(s string) bool {
	return len(s) <= MaxName && namePattern.MatchString(s)
}

func isOperation(s string) bool {
	return len(s) <= MaxName && operationPattern.MatchString(s)
}

func isKey(s string) bool {
	if s == "" || len(s) > MaxKey {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}
