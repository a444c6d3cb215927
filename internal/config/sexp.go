package config

import "fmt"

// node is an atom (list nil and isList false) or a list of an S-expression.
type node struct {
	atom   string
	list   []node
	isList bool
	line   int
}

const maxDepth = 32

// parseSexp reads all expressions in data: lists in parentheses and bare
// atoms; a semicolon starts a comment that ends with the line.
func parseSexp(data []byte) ([]node, error) {
	p := &sexpParser{data: data, line: 1}
	var out []node
	for {
		p.space()
		if p.pos == len(p.data) {
			return out, nil
		}
		n, err := p.expr(0)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
}

type sexpParser struct {
	data []byte
	pos  int
	line int
}

func (p *sexpParser) space() {
	for p.pos < len(p.data) {
		switch c := p.data[p.pos]; c {
		case '\n':
			p.line++
			p.pos++
		case ' ', '\t', '\r':
			p.pos++
		case ';':
			for p.pos < len(p.data) && p.data[p.pos] != '\n' {
				p.pos++
			}
		default:
			return
		}
	}
}

func atomByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c == '-' || c == '_' || c == '.' || c == '+'
}

func (p *sexpParser) expr(depth int) (node, error) {
	if depth > maxDepth {
		return node{}, fmt.Errorf("line %d: nested deeper than %d", p.line, maxDepth)
	}
	n := node{line: p.line}
	c := p.data[p.pos]
	if c != '(' {
		start := p.pos
		for p.pos < len(p.data) && atomByte(p.data[p.pos]) {
			p.pos++
		}
		if start == p.pos {
			return node{}, fmt.Errorf("line %d: unexpected %q", p.line, c)
		}
		n.atom = string(p.data[start:p.pos])
		return n, nil
	}
	n.isList = true
	p.pos++
	for {
		p.space()
		if p.pos == len(p.data) {
			return node{}, fmt.Errorf("line %d: list is not closed", n.line)
		}
		if p.data[p.pos] == ')' {
			p.pos++
			return n, nil
		}
		e, err := p.expr(depth + 1)
		if err != nil {
			return node{}, err
		}
		n.list = append(n.list, e)
	}
}
