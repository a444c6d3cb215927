// Package planted holds a case that a linter has to find.
package planted

func late(n int) int {
	if n > 0 {
		n++
		n *= 2
	} else {
		return 0
	}
	return n
}
