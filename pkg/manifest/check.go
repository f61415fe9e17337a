package manifest

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cardamomline/cardamomline/internal/strictyaml"
)

// check compares the sections with each other and builds the look-up tables.
func (p *parser) check() {
	m := p.m
	m.classByName = index(p, "class", m.classes, (*Class).Name, func(i int) strictyaml.Mark { return p.classAt[i] })
	m.customerByName = index(p, "customer", m.customers, (*Customer).Name, func(i int) strictyaml.Mark { return p.customerAt[i].name })
	m.modelByName = index(p, "model", m.models, (*Model).Name, func(i int) strictyaml.Mark { return p.modelAt[i] })
	m.serviceByName = index(p, "service", m.services, (*Service).Name, func(i int) strictyaml.Mark { return p.serviceAt[i] })
	m.pipelineByName = index(p, "pipeline", m.pipelines, (*Pipeline).Name, func(i int) strictyaml.Mark { return p.pipelineAt[i].name })
	p.checkCustomers()
	for i, pipe := range m.pipelines {
		p.checkPipeline(pipe, &p.pipelineAt[i])
	}
}

func (p *parser) checkCustomers() {
	byKey := make(map[string]*Customer, len(p.m.customers))
	for i, c := range p.m.customers {
		at := &p.customerAt[i]
		if c.defaultClass != "" {
			p.checkClass(at.class, c.defaultClass)
		}
		if c.key == "" {
			continue
		}
		if other, doubled := byKey[c.key]; doubled {
			p.r.Fail(at.key, "the key of customer "+other.name, "a key of its own for each customer")
			continue
		}
		byKey[c.key] = c
	}
	p.m.customerByKey = byKey
}

func (p *parser) checkClass(at strictyaml.Mark, name string) {
	if _, ok := p.m.classByName[name]; ok || name == "" {
		return
	}
	p.unknown(at, "class", name, names(p.m.classes, (*Class).Name))
}

func (p *parser) checkPipeline(pipe *Pipeline, at *pipelineMarks) {
	p.checkClass(at.class, pipe.defaultClass)
	place := make(map[string]int, len(pipe.stages))
	for i, s := range pipe.stages {
		if s.name == "" {
			continue
		}
		if _, doubled := place[s.name]; doubled {
			p.doubled(at.stages[i].name, "stage", s.name)
			continue
		}
		place[s.name] = i
	}
	sound := true
	for i, s := range pipe.stages {
		p.checkCall(s, &at.stages[i])
		sound = p.checkNeeds(pipe, i, place, &at.stages[i]) && sound
	}
	if !sound || len(place) == 0 || len(place) < len(pipe.stages) {
		return
	}
	p.checkUnused(pipe, place, at)
	p.checkExpected(pipe, place, at)
}

// checkCall checks the service, the operation and the model of a stage.
func (p *parser) checkCall(s *Stage, at *stageMarks) {
	if s.model != "" {
		if _, ok := p.m.modelByName[s.model]; !ok {
			p.unknown(at.model, "model", s.model, names(p.m.models, (*Model).Name))
		}
	}
	service, ok := p.m.serviceByName[s.service]
	if !ok {
		if s.service != "" {
			p.unknown(at.service, "service", s.service, names(p.m.services, (*Service).Name))
		}
		return
	}
	if s.operation == "" {
		return
	}
	operation, ok := service.Operation(s.operation)
	if !ok {
		p.unknown(at.operation, "operation", s.operation, names(service.operations, (*Operation).Name))
		return
	}
	if !operation.idempotent {
		p.r.Fail(at.operation, fmt.Sprintf("the operation %s, which isn't idempotent", quoted(s.operation)),
			"an idempotent operation: stages are retried and may wait, so this operation could run twice; call it as an order with an order id")
	}
}

// checkNeeds reports whether the stage needs only stages before it.
func (p *parser) checkNeeds(pipe *Pipeline, i int, place map[string]int, at *stageMarks) bool {
	s := pipe.stages[i]
	sound := true
	seen := make(map[string]bool, len(s.needs))
	for n, need := range s.needs {
		if need == "" {
			sound = false
			continue
		}
		if seen[need] {
			p.doubled(at.needs[n], "need", need)
			sound = false
		}
		seen[need] = true
		j, ok := place[need]
		switch {
		case !ok:
			p.unknown(at.needs[n], "stage", need, names(pipe.stages[:i], (*Stage).Name))
			sound = false
		case j >= i:
			p.failLaterNeed(pipe, place, i, j, at.needs[n])
			sound = false
		}
	}
	return sound
}

func (p *parser) failLaterNeed(pipe *Pipeline, place map[string]int, i, j int, at strictyaml.Mark) {
	need := pipe.stages[j].name
	if cycle := findCycle(pipe, place, i, j); cycle != nil {
		p.r.Fail(at, "the cycle "+strings.Join(cycle, " needs "), "stages that need only earlier stages")
		return
	}
	p.r.Fail(at, "the later stage "+quoted(need), "an earlier stage; move "+need+" before "+pipe.stages[i].name)
}

// findCycle returns the names from stage i through stage j back to stage i, or
// nil when stage j doesn't depend on stage i.
func findCycle(pipe *Pipeline, place map[string]int, i, j int) []string {
	visited := make([]bool, len(pipe.stages))
	var walk func(at int) []string
	walk = func(at int) []string {
		if at == i {
			return []string{pipe.stages[i].name}
		}
		if visited[at] {
			return nil
		}
		visited[at] = true
		for _, need := range pipe.stages[at].needs {
			next, ok := place[need]
			if !ok {
				continue
			}
			if rest := walk(next); rest != nil {
				return append([]string{pipe.stages[at].name}, rest...)
			}
		}
		return nil
	}
	rest := walk(j)
	if rest == nil {
		return nil
	}
	return append([]string{pipe.stages[i].name}, rest...)
}

// checkUnused refuses stages whose results don't reach the answer, because
// their work would be paid for and thrown away.
func (p *parser) checkUnused(pipe *Pipeline, place map[string]int, at *pipelineMarks) {
	last := len(pipe.stages) - 1
	used := make([]bool, len(pipe.stages))
	used[last] = true
	for i := last; i >= 0; i-- {
		if !used[i] {
			p.r.Fail(at.stages[i].stage, "the stage "+quoted(pipe.stages[i].name)+", which the last stage doesn't need",
				"stages that lead to the last stage "+quoted(pipe.stages[last].name))
			continue
		}
		for _, need := range pipe.stages[i].needs {
			used[place[need]] = true
		}
	}
}

// checkExpected compares the longest path through the stages with the deadline.
func (p *parser) checkExpected(pipe *Pipeline, place map[string]int, at *pipelineMarks) {
	finish := make([]time.Duration, len(pipe.stages))
	var longest time.Duration
	for i, s := range pipe.stages {
		for _, need := range s.needs {
			finish[i] = max(finish[i], finish[place[need]])
		}
		finish[i] += s.expected
		longest = max(longest, finish[i])
	}
	if pipe.deadline == 0 || longest <= pipe.deadline {
		return
	}
	p.r.Fail(at.deadline, fmt.Sprintf("%s, less than the %s that the stages are expected to take on the longest path",
		strictyaml.FormatDuration(pipe.deadline), strictyaml.FormatDuration(longest)), "a deadline that the stages can meet")
}

func (p *parser) doubled(at strictyaml.Mark, what, name string) {
	p.r.Fail(at, "the "+what+" "+quoted(name)+" a second time", "each "+what+" once")
}

func (p *parser) unknown(at strictyaml.Mark, what, name string, known []string) {
	const longest = 12
	expected := "a declared " + what
	switch {
	case len(known) > longest:
		expected += ": " + strings.Join(known[:longest], ", ") + ", ..."
	case len(known) > 0:
		expected += ": " + strings.Join(known, ", ")
	}
	p.r.Fail(at, "the unknown "+what+" "+quoted(name), expected)
}

// index builds a look-up table by name and reports doubled names.
func index[T any](p *parser, what string, items []*T, name func(*T) string, at func(int) strictyaml.Mark) map[string]*T {
	table := make(map[string]*T, len(items))
	for i, item := range items {
		n := name(item)
		if n == "" {
			continue
		}
		if _, doubled := table[n]; doubled {
			p.doubled(at(i), what, n)
			continue
		}
		table[n] = item
	}
	return table
}

// names returns the names of the items, each once.
func names[T any](items []*T, name func(*T) string) []string {
	list := make([]string, 0, len(items))
	for _, item := range items {
		if n := name(item); n != "" && !slices.Contains(list, n) {
			list = append(list, n)
		}
	}
	return list
}

func quoted(s string) string {
	return `"` + s + `"`
}
