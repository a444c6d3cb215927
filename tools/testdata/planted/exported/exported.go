// Package planted holds a case that a linter has to find.
package planted

func Exported() {}
