package strictyaml

import (
	"fmt"
	"iter"

	"github.com/goccy/go-yaml/ast"
)

// Item is one item of a sequence. It is parsed when Value is called.
type Item struct {
	value Value
	chunk *chunk
	index int // in the chunk
	r     *Reader
	path  *path
}

// Source returns the lines of the item in the file, or nil when the sequence
// isn't written one item after the other.
func (i Item) Source() []byte {
	if i.chunk == nil {
		return nil
	}
	return i.chunk.items[i.index].text
}

// Value returns the item. It is absent when the lines couldn't be parsed; the
// fault is recorded.
func (i Item) Value() Value {
	if i.chunk == nil {
		return i.value
	}
	i.chunk.parse(i.r, i.path)
	if i.index >= len(i.chunk.values) {
		return Value{r: i.r}
	}
	return i.chunk.values[i.index]
}

// Items decodes a sequence of least to most items. A fault in their number is
// recorded, and no item is returned then.
func (v Value) Items(least, most int) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if v.pieces != nil {
			if v.checkCount(len(v.pieces), least, most) {
				v.yieldPieces(yield)
			}
			return
		}
		if v.node == nil {
			return
		}
		node, ok := v.node.(*ast.SequenceNode)
		if !ok {
			v.fail("a sequence")
			return
		}
		if !v.checkCount(len(node.Values), least, most) {
			return
		}
		for i, n := range node.Values {
			if !yield(Item{value: v.r.value(n, &path{parent: v.mark.path, index: i}, v.lines)}) {
				return
			}
		}
	}
}

func (v Value) checkCount(n, least, most int) bool {
	if n >= least && n <= most {
		return true
	}
	v.Fail(describeItems(n), fmt.Sprintf("%d to %d items", least, most))
	return false
}

func (v Value) yieldPieces(yield func(Item) bool) {
	for first := 0; first < len(v.pieces); first += chunkItems {
		c := &chunk{items: v.pieces[first:min(first+chunkItems, len(v.pieces))], first: first}
		for i := range c.items {
			if !yield(Item{chunk: c, index: i, r: v.r, path: v.mark.path}) {
				return
			}
		}
	}
}

func (c *chunk) parse(r *Reader, parent *path) {
	if c.parsed {
		return
	}
	c.parsed = true
	lines := c.items[0].lines
	node := r.parse(c.joined(), lines)
	if node == nil {
		return
	}
	seq, ok := node.(*ast.SequenceNode)
	if !ok || len(seq.Values) != len(c.items) {
		r.failSyntax(r.value(node, parent, lines).mark, "items that can't be told apart", "a sequence with one item after the other")
		return
	}
	for i, n := range seq.Values {
		c.values = append(c.values, r.value(n, &path{parent: parent, index: c.first + i}, lines))
	}
}
