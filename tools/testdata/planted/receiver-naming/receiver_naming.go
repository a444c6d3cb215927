// Package planted holds a case that a linter has to find.
package planted

type thing struct{ n int }

func (t *thing) one() int { return t.n }

func (thing *thing) two() int { return thing.n }
