// Package planted holds a case that a linter has to find.
package planted

func flow(n int) int {
	if n > 0 {
		return 1
	} else {
		return 2
	}
}
