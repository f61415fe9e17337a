package report

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Table writes the run as plain tables.
func Table(w io.Writer, r *Run) {
	fmt.Fprintf(w, "%s: %d requests in %.1f s, %d not sent, %d retries\n", r.Name, r.Sent, r.Seconds, r.NotSent, r.Retries)
	table(w, "\nattainment", []string{"group", "name", "sent", "in time", "late", "share"}, rows(r.Attainment, func(a Attainment) []string {
		return []string{a.Group, a.Name, strconv.Itoa(a.Sent), strconv.Itoa(a.Attained), strconv.Itoa(a.Late), percent(a.Share)}
	}))
	latencyTable(w, "latency in ms", r.Latency)
	latencyTable(w, "first token in ms", r.FirstToken)
	latencyTable(w, "between tokens in ms", r.TokenGap)
	table(w, "\ncost by stage", []string{"service", "operation", "customer", "attempts", "canceled", "failed", "busy ms", "unused ms", "tokens"},
		rows(r.Stages, func(s StageCost) []string {
			return []string{
				s.Service, s.Operation, s.Customer, strconv.Itoa(s.Attempts), strconv.Itoa(s.Canceled),
				strconv.Itoa(s.Failed), millis(s.BusyMS), millis(s.UnusedMS), strconv.Itoa(s.Tokens),
			}
		}))
	fmt.Fprintf(w, "unused work: %s of %s ms\n", percent(r.UnusedShare()), millis(r.BusyMS()))
	table(w, "\nanswers other than done", []string{"outcome", "reason", "count", "example"}, rows(r.Refusals, func(f Refusal) []string {
		return []string{f.Outcome, f.Reason, strconv.Itoa(f.Count), f.Example}
	}))
	invariants(w, r)
}

const maxShownViolations = 20

func invariants(w io.Writer, r *Run) {
	c := r.Checked
	fmt.Fprintf(w, "\ninvariants: checked %d answers and %d orders against %d accounts (%d missing, %d records dropped) with %d effects and %d attempts\n",
		c.Answers, c.Orders, c.Accounts, c.MissingAccounts, c.Dropped, c.Effects, c.Attempts)
	if !c.Complete {
		fmt.Fprintln(w, "incomplete: the accounts don't hold everything that ran, so a violation may be unseen")
	}
	for _, kind := range []string{KindLost, KindDoubled, KindMisdelivered, KindUntrueNotRun, KindCut} {
		fmt.Fprintf(w, "%s: %d\n", kind, r.Count(kind))
	}
	for i, v := range r.Violations {
		if i == maxShownViolations {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "%s: %s (request %s, order %s): %s\n", v.Kind, v.Request, v.ID, v.Order, v.Detail)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "note: %d times %s: %s\n", n.Count, n.Kind, n.Detail)
	}
}

// Compare writes the figures of two runs side by side.
func Compare(w io.Writer, a, b *Run) {
	var lines [][]string
	add := func(name, x, y string) { lines = append(lines, []string{name, x, y}) }
	add("requests", strconv.Itoa(a.Sent), strconv.Itoa(b.Sent))
	for _, p := range pairs(a.Attainment, b.Attainment, Attainment.key) {
		add("attainment "+p.key, p.text(func(x Attainment) string { return percent(x.Share) }, 0), p.text(func(x Attainment) string { return percent(x.Share) }, 1))
	}
	p95 := func(l Latency) string { return millis(l.P95) }
	for _, p := range pairs(a.Latency, b.Latency, Latency.key) {
		add("latency p95 ms "+p.key, p.text(p95, 0), p.text(p95, 1))
	}
	add("busy ms", millis(a.BusyMS()), millis(b.BusyMS()))
	add("unused work", percent(a.UnusedShare()), percent(b.UnusedShare()))
	for _, kind := range []string{KindLost, KindDoubled, KindMisdelivered, KindUntrueNotRun, KindCut} {
		add(kind, strconv.Itoa(a.Count(kind)), strconv.Itoa(b.Count(kind)))
	}
	table(w, "comparison", []string{"figure", a.Name, b.Name}, lines)
}

func (a Attainment) key() string { return a.Group + " " + a.Name }

func (l Latency) key() string { return l.Group + " " + l.Name }

// pair holds the values of two runs for one key; a missing one is nil.
type pair[T any] struct {
	key    string
	values [2]*T
}

func (p pair[T]) text(render func(T) string, side int) string {
	if p.values[side] == nil {
		return "-"
	}
	return render(*p.values[side])
}

func pairs[T any](a, b []T, key func(T) string) []pair[T] {
	var out []pair[T]
	at := make(map[string]int)
	for side, list := range [][]T{a, b} {
		for i := range list {
			k := key(list[i])
			if _, ok := at[k]; !ok {
				at[k] = len(out)
				out = append(out, pair[T]{key: k})
			}
			out[at[k]].values[side] = &list[i]
		}
	}
	return out
}

func latencyTable(w io.Writer, title string, list []Latency) {
	table(w, "\n"+title, []string{"group", "name", "count", "mean", "p50", "p90", "p95", "p99", "max"}, rows(list, func(l Latency) []string {
		return []string{
			l.Group, l.Name, strconv.FormatInt(l.Count, 10), millis(l.Mean), millis(l.P50),
			millis(l.P90), millis(l.P95), millis(l.P99), millis(l.Max),
		}
	}))
}

func rows[T any](list []T, row func(T) []string) [][]string {
	out := make([][]string, 0, len(list))
	for _, x := range list {
		out = append(out, row(x))
	}
	return out
}

// table writes nothing when there are no lines.
func table(w io.Writer, title string, heads []string, lines [][]string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(w, title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range append([][]string{heads}, lines...) {
		fmt.Fprintln(t, "  "+strings.Join(line, "\t"))
	}
	_ = t.Flush()
}

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }

func millis(ms float64) string { return fmt.Sprintf("%.1f", ms) }
