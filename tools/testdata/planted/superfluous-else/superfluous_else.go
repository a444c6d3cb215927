// Package planted holds a case that a linter has to find.
package planted

func loop(rows []int) (n int) {
	for _, x := range rows {
		if x < 0 {
			continue
		} else {
			n += x
		}
	}
	return n
}
