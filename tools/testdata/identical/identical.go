// Package identical holds a case that staticcheck has to find.
package identical

// Never reports whether a number equals itself, which staticcheck has to find (SA4000).
func Never(n int) bool { return n == n }
