// Package planted holds a case that a linter has to find.
package planted

func ignore(n int) int { return 1 }
