package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// CostPage writes a Markdown page on cost by stage and customer for a reader who
// doesn't run the system.
func CostPage(w io.Writer, r *Run) {
	fmt.Fprintf(w, "# Cost of %s\n\n", r.Name)
	fmt.Fprintf(w, "Measured on %s over %.0f seconds with %d requests. "+
		"Cost is the time that machines were busy; a request that waits for a machine costs nothing.\n\n",
		r.Started.UTC().Format("2 January 2006, 15:04 UTC"), r.Seconds, r.Sent)
	if !r.Checked.Complete {
		fmt.Fprintf(w, "The figures are incomplete: %d accounts could not be read and %d records were no longer kept.\n\n",
			r.Checked.MissingAccounts, r.Checked.Dropped)
	}
	fmt.Fprintf(w, "All work took %s machine seconds. %s of it went into results that no caller used.\n\n",
		seconds(r.BusyMS()), percent(r.UnusedShare()))
	costTable(w, "By stage", "stage", r, func(s StageCost) string { return s.Service + ", " + s.Operation })
	costTable(w, "By customer", "customer", r, func(s StageCost) string { return s.Customer })
	costTable(w, "By customer and stage", "customer and stage", r, func(s StageCost) string {
		return s.Customer + ": " + s.Service + ", " + s.Operation
	})
	fmt.Fprint(w, "## Answered in time\n\n")
	markdown(w, []string{"customer", "requests", "in time", "share"}, rows(customers(r), func(a Attainment) []string {
		return []string{a.Name, strconv.Itoa(a.Sent), strconv.Itoa(a.Attained), percent(a.Share)}
	}))
}

func customers(r *Run) []Attainment {
	return slices.DeleteFunc(slices.Clone(r.Attainment), func(a Attainment) bool { return a.Group != "customer" })
}

// costTable writes the cost summed by a key, the most expensive first.
func costTable(w io.Writer, title, head string, r *Run, key func(StageCost) string) {
	sums := make(map[string]*StageCost)
	for _, s := range r.Stages {
		sum, ok := sums[key(s)]
		if !ok {
			sum = &StageCost{Operation: key(s)}
			sums[sum.Operation] = sum
		}
		sum.Attempts += s.Attempts
		sum.BusyMS += s.BusyMS
		sum.UnusedMS += s.UnusedMS
		sum.Tokens += s.Tokens
	}
	var list []*StageCost
	for _, s := range sums {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *StageCost) int {
		return cmp.Or(cmp.Compare(b.BusyMS, a.BusyMS), cmp.Compare(a.Operation, b.Operation))
	})
	total := r.BusyMS()
	fmt.Fprintf(w, "## %s\n\n", title)
	markdown(w, []string{head, "machine seconds", "share", "unused seconds", "calls", "tokens"}, rows(list, func(s *StageCost) []string {
		return []string{
			s.Operation, seconds(s.BusyMS), percent(s.BusyMS / max(total, 1e-9)), seconds(s.UnusedMS),
			strconv.Itoa(s.Attempts), strconv.Itoa(s.Tokens),
		}
	}))
}

func markdown(w io.Writer, heads []string, lines [][]string) {
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(heads, " | "), strings.Repeat(" --- |", len(heads)))
	for _, line := range lines {
		fmt.Fprintf(w, "| %s |\n", strings.Join(line, " | "))
	}
	fmt.Fprintln(w)
}

func seconds(ms float64) string { return fmt.Sprintf("%.2f", ms/1000) }
