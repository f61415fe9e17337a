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

var headingPattern = regexp.MustCompile(`\[origin:([0-9a-f+]+) [^\[\]]*\]`)

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

func hash(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}
