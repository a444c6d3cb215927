// Package planted holds a case that a linter has to find.
package planted

func shadow() int {
	len := 1
	return len
}
