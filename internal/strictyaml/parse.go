package strictyaml

import (
	"fmt"
	"strconv"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// The library parses by recursion, so that unbounded nesting would overflow the
// stack. The files of this program nest four levels deep.
const (
	maxDepth  = 32   // flow collections inside each other
	maxColumn = 4096 // also bounds block collections inside each other
)

// parse returns the tree of a piece of the file that starts after the given
// number of lines, or nil when the piece is empty or was refused.
func (r *Reader) parse(piece []byte, lines int32) ast.Node {
	tokens := lexer.Tokenize(string(piece))
	if !r.checkTokens(tokens, lines) {
		return nil
	}
	f, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.failParse(err, lines)
		return nil
	}
	var body ast.Node
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			r.failSyntax(r.value(doc.Body, nil, lines).mark, "a second document", "one document in a file")
			return nil
		}
		body = doc.Body
	}
	return body
}

func (r *Reader) failParse(err error, lines int32) {
	at := Mark{line: 1 + lines, column: 1}
	found := err.Error()
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		found = syntax.Message
		if syntax.Token != nil {
			at = tokenMark(syntax.Token, lines)
		}
	}
	r.failSyntax(at, "a syntax error: "+found, "YAML")
}

// checkTokens refuses the parts of YAML that the package doesn't support.
func (r *Reader) checkTokens(tokens token.Tokens, lines int32) bool {
	depth := 0
	for _, tk := range tokens {
		switch tk.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		}
		found := unsupported(tk)
		if depth > maxDepth {
			found = "collections nested more than " + strconv.Itoa(maxDepth) + " levels deep"
		}
		if found != "" {
			r.failSyntax(tokenMark(tk, lines), found, "plain YAML: mappings, sequences, and scalars on one line")
			return false
		}
	}
	return true
}

func unsupported(tk *token.Token) string {
	if tk.Position.Column > maxColumn {
		return "a line longer than " + strconv.Itoa(maxColumn) + " characters"
	}
	switch tk.Type {
	case token.AnchorType:
		return "an anchor"
	case token.AliasType:
		return "an alias"
	case token.TagType:
		return "a tag"
	case token.MergeKeyType:
		return "a merge key"
	case token.MappingKeyType:
		return "a complex key"
	case token.LiteralType, token.FoldedType:
		return "a block scalar"
	case token.DirectiveType:
		return "a directive"
	case token.InvalidType:
		return "a syntax error: " + tk.Error
	}
	return ""
}

func tokenMark(tk *token.Token, lines int32) Mark {
	if tk.Position == nil {
		return Mark{line: 1 + lines, column: 1}
	}
	return Mark{line: int32(tk.Position.Line) + lines, column: int32(tk.Position.Column)}
}

// firstUnprintable returns the place and a description of the first character
// that doesn't belong in a text file. A no-break space counts, because it looks
// like a space and isn't one.
func firstUnprintable(data []byte) (Mark, string) {
	at := Mark{line: 1, column: 1}
	for i := 0; i < len(data); {
		c, size := utf8.DecodeRune(data[i:])
		i += size
		switch {
		case c == '\n':
			at.line++
			at.column = 1
			continue
		case c == utf8.RuneError && size == 1:
			return at, "a byte that isn't UTF-8"
		case c == '\r' && (i == len(data) || data[i] != '\n'):
			return at, "a carriage return without a line feed"
		case c != '\t' && c != '\r' && !unicode.IsPrint(c):
			return at, fmt.Sprintf("the character U+%04X", c)
		}
		at.column++
	}
	return at, ""
}
