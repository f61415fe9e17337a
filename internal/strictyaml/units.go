package strictyaml

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// ParseDuration parses a duration of whole milliseconds with the units ms, s, m
// and h, such as 6s, 1.5s or 1h30m.
func ParseDuration(s string) (time.Duration, error) {
	if s == "" || s[0] < '0' || s[0] > '9' || strings.ContainsAny(s, "nuµμ") {
		return 0, errors.New("write a number and a unit: ms, s, m or h")
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.New("write a number and a unit: ms, s, m or h")
	}
	if d%time.Millisecond != 0 {
		return 0, errors.New("the smallest step is 1ms")
	}
	return d, nil
}

// FormatDuration renders a duration in the largest unit that divides it, so that
// ParseDuration returns the same value.
func FormatDuration(d time.Duration) string {
	units := []struct {
		unit time.Duration
		name string
	}{{time.Hour, "h"}, {time.Minute, "m"}, {time.Second, "s"}}
	for _, u := range units {
		if d != 0 && d%u.unit == 0 {
			return strconv.FormatInt(int64(d/u.unit), 10) + u.name
		}
	}
	return strconv.FormatInt(int64(d/time.Millisecond), 10) + "ms"
}

// Size is a number of bytes.
type Size int64

// Largest first, and decimal before binary units, for Size.String.
var sizeUnits = []struct {
	name string
	size Size
}{
	{"TB", 1e12},
	{"TiB", 1 << 40},
	{"GB", 1e9},
	{"GiB", 1 << 30},
	{"MB", 1e6},
	{"MiB", 1 << 20},
	{"KB", 1e3},
	{"KiB", 1 << 10},
	{"B", 1},
}

// ParseSize parses a whole number of bytes with a unit: B, KB, MB, GB, TB
// (powers of 1000) or KiB, MiB, GiB, TiB (powers of 1024).
func ParseSize(s string) (Size, error) {
	digits := strings.TrimRight(s, "BKMGTi")
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < 0 || strconv.FormatInt(n, 10) != digits {
		return 0, errors.New("write a whole number and a unit, such as 8GB or 512MiB")
	}
	for _, u := range sizeUnits {
		if u.name != s[len(digits):] {
			continue
		}
		if n > math.MaxInt64/int64(u.size) {
			return 0, errors.New("the size doesn't fit 63 bits")
		}
		return Size(n) * u.size, nil
	}
	return 0, errors.New("write a unit: B, KB, MB, GB, TB, KiB, MiB, GiB or TiB")
}

// String renders the size in the largest unit that divides it.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s != 0 && s%u.size == 0 {
			return strconv.FormatInt(int64(s/u.size), 10) + u.name
		}
	}
	return "0B"
}

// Rate is a number of events per second.
type Rate float64

// ParseRate parses a decimal number, alone or followed by /s, /m or /h.
func ParseRate(s string) (Rate, error) {
	number, per, _ := strings.Cut(s, "/")
	divisor, ok := map[string]float64{"s": 1, "m": 60, "h": 3600}[per]
	if !ok && per == "" && !strings.Contains(s, "/") {
		divisor, ok = 1, true
	}
	if !ok {
		return 0, errors.New("write a unit: /s, /m or /h")
	}
	if strings.Trim(number, "0123456789.") != "" {
		return 0, errors.New("write a decimal number")
	}
	n, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, errors.New("write a decimal number")
	}
	return Rate(n / divisor), nil
}

// String renders the rate per second without a unit, so that ParseRate returns
// the same value.
func (r Rate) String() string {
	return strconv.FormatFloat(float64(r), 'f', -1, 64)
}
