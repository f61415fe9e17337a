package strictyaml

import (
	"bytes"
)

// chunkItems is the number of sequence items that are parsed at a time. Trees
// take about 15 KB per item, so that a chunk takes about 1 MB.
const chunkItems = 64

// section is one key in the first column and the lines that belong to it.
type section struct {
	key  string
	line int32 // of the key
	text []byte
	rest []byte // the lines after the line of the key
}

// piece is a run of lines.
type piece struct {
	text  []byte
	lines int32 // number of lines before it
}

// chunk is a run of sequence items that are parsed together when the first of
// them is decoded.
type chunk struct {
	items  []piece
	first  int // index of the first item in the sequence
	parsed bool
	values []Value
}

// splitSections cuts a file at the keys in the first column. It returns nil for
// a file in another style, which is then parsed as a whole.
func splitSections(data []byte) []section {
	var list []section
	start := 0
	line := int32(0)
	for offset := 0; offset < len(data); {
		end := lineEnd(data, offset)
		text := data[offset:end]
		line++
		key := sectionKey(text)
		switch {
		case key != "":
			closeSection(list, data[start:offset])
			list = append(list, section{key: key, line: line})
			start = offset
		case isBlank(text) || text[0] == ' ':
			// part of the section
		case len(list) > 0 && isItemStart(text):
			// an item in the first column belongs to the key above it
		default:
			return nil
		}
		if len(list) == 0 && !isBlank(text) {
			return nil
		}
		offset = end
	}
	closeSection(list, data[start:])
	return list
}

func closeSection(list []section, text []byte) {
	if len(list) == 0 {
		return
	}
	s := &list[len(list)-1]
	s.text = text
	s.rest = text[lineEnd(text, 0):]
}

// sectionKey returns the key that starts a line, or the empty string.
func sectionKey(line []byte) string {
	n := 0
	for n < len(line) && (line[n] == '_' || line[n] >= 'a' && line[n] <= 'z') {
		n++
	}
	if n == 0 || n == len(line) || line[n] != ':' {
		return ""
	}
	if after := line[n+1:]; len(after) > 0 && after[0] != ' ' && after[0] != '\n' && after[0] != '\r' {
		return ""
	}
	return string(line[:n])
}

// splitItems cuts the lines after a key into the items of a block sequence. It
// returns nil when the section holds something else.
func splitItems(s section) []piece {
	keyLine := s.text[:len(s.text)-len(s.rest)]
	if !isBlank(keyLine[len(s.key)+1:]) {
		return nil
	}
	var items []piece
	indent := -1
	start := 0
	lines := s.line
	for offset := 0; offset < len(s.rest); lines++ {
		end := lineEnd(s.rest, offset)
		text := s.rest[offset:end]
		if !isBlank(text) {
			spaces := len(text) - len(bytes.TrimLeft(text, " "))
			if indent < 0 {
				indent = spaces
			}
			isItem := spaces == indent && isItemStart(text[spaces:])
			if !isItem && (spaces <= indent || len(items) == 0) {
				return nil
			}
			if isItem {
				closeItem(items, s.rest[start:offset])
				items = append(items, piece{lines: lines})
				start = offset
			}
		}
		offset = end
	}
	closeItem(items, s.rest[start:])
	return items
}

func closeItem(items []piece, text []byte) {
	if len(items) > 0 {
		items[len(items)-1].text = text
	}
}

func lineEnd(data []byte, offset int) int {
	if i := bytes.IndexByte(data[offset:], '\n'); i >= 0 {
		return offset + i + 1
	}
	return len(data)
}

// isBlank reports whether a line holds nothing but spaces and a comment.
func isBlank(line []byte) bool {
	text := bytes.TrimRight(bytes.TrimLeft(line, " "), "\r\n")
	return len(text) == 0 || text[0] == '#'
}

func isItemStart(text []byte) bool {
	return len(text) > 1 && text[0] == '-' && (text[1] == ' ' || text[1] == '\n' || text[1] == '\r')
}

// joined returns the lines of all items.
func (c *chunk) joined() []byte {
	var b bytes.Buffer
	for _, item := range c.items {
		b.Write(item.text)
	}
	return b.Bytes()
}
