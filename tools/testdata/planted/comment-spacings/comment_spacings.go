// Package planted holds a case that a linter has to find.
package planted

//missing space
var _ = 1
