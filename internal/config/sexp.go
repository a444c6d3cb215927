package config

// S-expressions: lists in parentheses and bare atoms.

import (
	"errors"
	"fmt"
)

// node is an atom or a list.
type node struct {
	line   int // line on which it starts, from 1
	isList bool
	atom   string // text of an atom, which is never empty; "" for a list
	list   []node // elements of a list; nil for an atom
}

// isPair reports whether the node is a list of two atoms.
func (n node) isPair() bool {
	return n.isList && len(n.list) == 2 && !n.list[0].isList && !n.list[1].isList
}

// maxDepth is the maximum nesting depth. It bounds the parser's recursion.
const maxDepth = 32

var errNotClosed = errors.New("list is not closed")

// parseSexp parses all expressions in data. A semicolon starts a comment that ends with the line. The
// error is the LineError of the first fault.
func parseSexp(data []byte) ([]node, error) {
	parser := &sexpParser{data: data, line: 1}
	var nodes []node
	for {
		parser.skipSpace()
		if parser.atEnd() {
			return nodes, nil
		}
		expression, err := parser.expression(0)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, expression)
	}
}

type sexpParser struct {
	data []byte
	pos  int // index of the next byte
	line int // line of the next byte, from 1
}

func (p *sexpParser) atEnd() bool { return p.pos == len(p.data) }

// skipSpace skips white space and comments.
func (p *sexpParser) skipSpace() {
	for ; !p.atEnd(); p.pos++ {
		switch p.data[p.pos] {
		case '\n':
			p.line++
		case ' ', '\t', '\r':
		case ';':
			p.skipComment()
		default:
			return
		}
	}
}

// skipComment stops at the last byte of the comment, before the end of the line.
func (p *sexpParser) skipComment() {
	for p.pos+1 < len(p.data) && p.data[p.pos+1] != '\n' {
		p.pos++
	}
}

// expression parses the list or atom that starts at the next byte. depth is the number of lists around it.
func (p *sexpParser) expression(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, LineError{p.line, fmt.Errorf("nested deeper than %d", maxDepth)}
	}
	if p.data[p.pos] == '(' {
		return p.listNode(depth)
	}
	return p.atomNode()
}

func (p *sexpParser) listNode(depth int) (node, error) {
	list := node{line: p.line, isList: true}
	p.pos++
	for {
		p.skipSpace()
		if p.atEnd() {
			return node{}, LineError{list.line, errNotClosed}
		}
		if p.data[p.pos] == ')' {
			p.pos++
			return list, nil
		}
		element, err := p.expression(depth + 1)
		if err != nil {
			return node{}, err
		}
		list.list = append(list.list, element)
	}
}

func (p *sexpParser) atomNode() (node, error) {
	start := p.pos
	for !p.atEnd() && isAtomByte(p.data[p.pos]) {
		p.pos++
	}
	if start == p.pos {
		return node{}, LineError{p.line, fmt.Errorf("unexpected %q", p.data[p.pos])}
	}
	return node{line: p.line, atom: string(p.data[start:p.pos])}, nil
}

func isAtomByte(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	digit := c >= '0' && c <= '9'
	punctuation := c == '-' || c == '_' || c == '.' || c == '+'
	return letter || digit || punctuation
}
