// Package planted holds a case that a linter has to find.
package planted

func pair() (int, int) { return 1, 2 }
