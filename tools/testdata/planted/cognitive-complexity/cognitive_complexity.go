// Package planted holds a case that a linter has to find.
package planted

func nested(rows [][]int) (n int) {
	for _, row := range rows {
		for _, x := range row {
			if x > 0 {
				for range x {
					if n > x {
						n--
					} else if n < x {
						n++
					}
				}
			}
		}
	}
	return n
}
