// Package planted holds a case that a linter has to find.
package planted

type thing struct{}

func (t thing) constant() int { return 1 }
