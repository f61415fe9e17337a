package manifest_test

import (
	"fmt"
	"strconv"
	"strings"

	"pgregory.net/rapid"
)

// mapping, list and text are a YAML document before its style is chosen.
type (
	mapping []entry
	list    []mapping
	text    string // a string, which may be written with quotes
	word    string // a number, truth value or list, written as it is
)

type entry struct {
	key   string
	value any
}

// genManifest draws an acceptable manifest in a random style.
func genManifest(t *rapid.T) []byte {
	draw := func(most int) int { return rapid.IntRange(0, most).Draw(t, "n") }
	names := func(prefix string, least int) []string {
		var all []string
		for i := range least + draw(3) {
			all = append(all, prefix+strconv.Itoa(i))
		}
		return all
	}
	one := func(choices ...string) text { return text(rapid.SampledFrom(choices).Draw(t, "choice")) }
	yes := func() word { return word(strconv.FormatBool(rapid.Bool().Draw(t, "bool"))) }
	maybe := func(m mapping, key string, value any) mapping {
		if rapid.Bool().Draw(t, "present") {
			return append(m, entry{key, value})
		}
		return m
	}

	root := mapping{{"version", word("1")}}
	root = maybe(root, "policy", one("adaptive", "baseline"))
	root = maybe(root, "unconfirmed", one("serve", "refuse"))
	classes, customers, models := list{}, list{}, list{}
	classNames, modelNames := append(names("class-", 0), "true", "no"), names("model-", 0)
	for _, name := range classNames {
		m := mapping{{"name", text(name)}, {"deadline", one("10ms", "1.5s", "1h30m", "90s", "24h")}}
		m = maybe(m, "priority", word(strconv.Itoa(draw(9))))
		classes = append(classes, maybe(m, "may_wait", yes()))
	}
	for _, name := range names("customer-", 1) {
		m := mapping{{"name", text(name)}, {"key", text(rapid.StringMatching(`[!-~]{1,8}`).Draw(t, "key") + name)}}
		m = maybe(m, "weight", word(strconv.Itoa(1+draw(999))))
		m = maybe(m, "max_concurrent", word(strconv.Itoa(1+draw(99))))
		m = maybe(m, "rate", one("50", "0.5", "7/m", "100/h", "1000000/s"))
		customers = append(customers, maybe(m, "default_class", one(classNames...)))
	}
	for _, name := range modelNames {
		models = append(models, mapping{{"name", text(name)}, {"size", one("1B", "8GB", "512MiB", "1001KB", "100TB")}})
	}
	root = append(root, entry{"classes", classes}, entry{"customers", customers})
	if len(models) > 0 {
		root = append(root, entry{"models", models})
	}
	services, pipelines := list{}, list{}
	for _, name := range names("service-", 1) {
		m := mapping{{"name", text(name)}, {"kind", one("engine", "encoder", "retriever", "reranker", "service")}}
		m = maybe(maybe(m, "checks_fencing", yes()), "reports_load", yes())
		operations := list{{{"name", text("look_up")}, {"idempotent", word("true")}}}
		for _, o := range names("o", 0) {
			operations = append(operations, maybe(mapping{{"name", text(o)}, {"idempotent", yes()}}, "timeout", one("1ms", "60m")))
		}
		services = append(services, append(m, entry{"operations", operations}))
	}
	for _, name := range names("pipeline-", 0) {
		stages := list{}
		for i, s := range names("stage-", 1) {
			m := mapping{{"name", text(s)}, {"service", text("service-0")}, {"operation", text("look_up")}, {"expected", one("1ms", "2s")}}
			if i > 0 {
				m = append(m, entry{"needs", word(fmt.Sprintf("[stage-%d]", i-1))})
			}
			if len(modelNames) > 0 {
				m = maybe(m, "model", one(modelNames...))
			}
			stages = append(stages, m)
		}
		pipelines = append(pipelines, mapping{{"name", text(name)}, {"deadline", one("8s", "1h")}, {"default_class", one(classNames...)}, {"stages", stages}})
	}
	root = append(root, entry{"services", services})
	if len(pipelines) > 0 {
		root = append(root, entry{"pipelines", pipelines})
	}
	w := &styledWriter{t: t}
	w.block(root, 0)
	return []byte(w.b.String())
}

// styledWriter writes YAML with random style where YAML leaves a choice.
type styledWriter struct {
	t *rapid.T
	b strings.Builder
}

func (w *styledWriter) block(m mapping, indent int) {
	for i, e := range rapid.Permutation(m).Draw(w.t, "order") {
		if i > 0 {
			w.b.WriteString(strings.Repeat(" ", indent))
		}
		w.b.WriteString(e.key + ":")
		items, ok := e.value.(list)
		if !ok || rapid.IntRange(0, 5).Draw(w.t, "flow") == 0 {
			w.b.WriteString(" " + w.flow(e.value) + w.end())
			continue
		}
		w.b.WriteString(w.end())
		inner := indent + rapid.IntRange(0, 3).Draw(w.t, "indent")
		for _, item := range items {
			w.b.WriteString(strings.Repeat(" ", inner) + "- ")
			if rapid.Bool().Draw(w.t, "block") {
				w.block(item, inner+2)
				continue
			}
			w.b.WriteString(w.flow(item) + w.end())
		}
	}
}

func (w *styledWriter) end() string {
	return rapid.SampledFrom([]string{"\n", "\n", "\r\n", " # note\n", "\n\n", "\n# note: - {\n"}).Draw(w.t, "end")
}

func (w *styledWriter) flow(value any) string {
	var parts []string
	switch v := value.(type) {
	case word:
		return string(v)
	case text:
		return w.scalar(string(v))
	case mapping:
		for _, e := range rapid.Permutation(v).Draw(w.t, "order") {
			parts = append(parts, e.key+": "+w.flow(e.value))
		}
		return "{" + strings.Join(parts, ", ") + "}"
	case list:
		for _, m := range v {
			parts = append(parts, w.flow(m))
		}
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// scalar quotes text that needs it, and some that doesn't.
func (w *styledWriter) scalar(s string) string {
	style := rapid.IntRange(0, 2).Draw(w.t, "quotes")
	if plain := strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789.-_/") == "" && s != "true"; plain && style == 0 && s[0] != '-' && s[0] != '.' {
		return s
	}
	if style == 1 {
		return "'" + strings.ReplaceAll(s, "'", "''") + "'"
	}
	return strconv.Quote(s)
}
