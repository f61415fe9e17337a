package explain

import (
	"fmt"
	"strings"
	"time"
)

const (
	clockLayout = "15:04:05.000"
	dateLayout  = "2006-01-02"
)

// words turns a reason or outcome such as no_quorum into plain words.
func words(s string) string {
	if s == "" {
		return "no reason given"
	}
	return strings.ReplaceAll(s, "_", " ")
}

// because returns a reason in brackets, or nothing.
func because(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + words(reason) + ")"
}

// span returns a duration to three digits or so, for example 12 ms, 1.25 s or 2 min 5 s.
func span(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return "less than 1 ms"
	case d < time.Second:
		return fmt.Sprintf("%d ms", d.Milliseconds())
	case d < time.Minute:
		s := fmt.Sprintf("%.2f", d.Seconds())
		return strings.TrimSuffix(strings.TrimRight(s, "0"), ".") + " s"
	default:
		d = d.Round(time.Second)
		return fmt.Sprintf("%d min %d s", int(d.Minutes()), int(d.Seconds())%60)
	}
}
