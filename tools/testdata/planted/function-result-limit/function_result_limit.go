// Package planted holds a case that a linter has to find.
package planted

func four() (a, b, c, d int) { return 1, 2, 3, 4 }
