// Package planted holds a case that a linter has to find.
package planted

func many(a, b, c, d, e, f, g, h, i int) int { return a + b + c + d + e + f + g + h + i }
