package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// MinTokens is the least number of tokens of a generated text: its heading and
// one numbered token.
const MinTokens = 2

var (
	headingPattern = regexp.MustCompile(`\[origin:([0-9a-f+]+) [^\[\]]*\]`)
	textPattern    = regexp.MustCompile(`^\[origin:([0-9a-f+]+) request:([^ \[\]]*) of:([0-9]+)\]`)
	madeForPattern = regexp.MustCompile(`^\[origin:[0-9a-f+]+ request:([^ \[\]]*) `)
	outputPattern  = regexp.MustCompile(`^\[origin:[0-9a-f+]+ request:([^ \[\]]*) stage:[^\[\]]*\]`)
)

// ForeignError reports an output that was not made from the input.
type ForeignError struct {
	what string
	want string
	got  string
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("%s is %q, not %q", e.what, e.got, e.want)
}

// CutError reports a text that ends early.
type CutError struct {
	want int
	got  int // complete tokens
}

// Error implements error.
func (e *CutError) Error() string {
	return fmt.Sprintf("the text has %d of %d tokens", e.got, e.want)
}

// Origin returns the proof of origin of an input. An input that is made of the
// outputs of earlier stages carries theirs; any other input is hashed. An input
// that mixes outputs of several requests has all their hashes, joined by "+".
func Origin(input string) string {
	var origins []string
	for _, m := range headingPattern.FindAllStringSubmatch(input, -1) {
		origins = append(origins, strings.Split(m[1], "+")...)
	}
	if len(origins) == 0 {
		return hash(input)
	}
	slices.Sort(origins)
	return strings.Join(slices.Compact(origins), "+")
}

// Token returns the text of token i of a generated text of n tokens. It depends
// only on the arguments, so another engine continues a text without a seam.
func Token(origin, request string, n, i int) string {
	if i == 0 {
		return fmt.Sprintf("[origin:%s request:%s of:%d]", origin, url.QueryEscape(request), n)
	}
	return fmt.Sprintf(" %d:%s", i, hash(origin, request, strconv.Itoa(i))[:4])
}

// Text returns the tokens from offset up to n as one text.
func Text(origin, request string, offset, n int) string {
	var b strings.Builder
	for i := offset; i < n; i++ {
		b.WriteString(Token(origin, request, n, i))
	}
	return b.String()
}

// Output returns the output of a stage that doesn't generate tokens.
func Output(origin, request, operation, order string) string {
	return fmt.Sprintf("[origin:%s request:%s stage:%s order:%s]",
		origin, url.QueryEscape(request), url.QueryEscape(operation), url.QueryEscape(order))
}

// CheckText checks that a generated text was made from input, for the request
// when that isn't empty, with the tokens asked for, and that each token is there
// once and in order. It returns nil, a *ForeignError or a *CutError.
func CheckText(text, input, request string, tokens int) error {
	m := textPattern.FindStringSubmatch(text)
	if m == nil {
		if text == "" {
			return &CutError{want: MinTokens}
		}
		return &ForeignError{what: "the heading", want: "[origin:...]", got: excerpt(text)}
	}
	if want := Origin(input); m[1] != want {
		return &ForeignError{what: "the origin", want: want, got: m[1]}
	}
	madeFor, err := url.QueryUnescape(m[2])
	if err != nil || (request != "" && madeFor != request) {
		return &ForeignError{what: "the request", want: request, got: m[2]}
	}
	n, err := strconv.Atoi(m[3])
	if err != nil || n > maxCheckedTokens {
		return &ForeignError{what: "the number of tokens", want: "a number", got: m[3]}
	}
	if want := max(tokens, MinTokens); n < want {
		return &CutError{want: want, got: n}
	}
	return checkTokens(text, Text(m[1], madeFor, 0, n), n)
}

// maxCheckedTokens keeps a damaged heading from making the check build a huge text.
const maxCheckedTokens = 1 << 20

func checkTokens(text, want string, n int) error {
	if text == want {
		return nil
	}
	if strings.HasPrefix(want, text) {
		return &CutError{want: n, got: strings.Count(text, " ") - headingSpaces + 1}
	}
	got, wanted := strings.Split(text, " "), strings.Split(want, " ")
	for i, w := range wanted {
		if i >= len(got) || got[i] != w {
			return &ForeignError{what: fmt.Sprintf("token %d", i-headingSpaces), want: w, got: strings.Join(got[min(i, len(got)):min(i+1, len(got))], "")}
		}
	}
	return &ForeignError{what: "the text after the last token", got: excerpt(strings.Join(got[len(wanted):], " "))}
}

// headingSpaces is the number of spaces in the heading of a text.
const headingSpaces = 2

// CheckOutput checks the output of an operation that doesn't generate tokens, as
// CheckText does for texts.
func CheckOutput(output, input, request, operation, order string) error {
	m := outputPattern.FindStringSubmatch(output)
	if m == nil {
		if strings.HasPrefix(output, "[origin:") || output == "" {
			return &CutError{want: 1}
		}
		return &ForeignError{what: "the output", want: "[origin:...]", got: excerpt(output)}
	}
	madeFor, err := url.QueryUnescape(m[1])
	if err != nil || (request != "" && madeFor != request) {
		return &ForeignError{what: "the request", want: request, got: m[1]}
	}
	if want := Output(Origin(input), madeFor, operation, order); output != want {
		return &ForeignError{what: "the output", want: want, got: excerpt(output)}
	}
	return nil
}

// MadeFor returns the id of the request that an output says it was made for, or
// "" when it doesn't say.
func MadeFor(output string) string {
	m := madeForPattern.FindStringSubmatch(output)
	if m == nil {
		return ""
	}
	request, err := url.QueryUnescape(m[1])
	if err != nil {
		return ""
	}
	return request
}

func excerpt(text string) string {
	const longest = 120
	return text[:min(len(text), longest)]
}

func hash(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}
