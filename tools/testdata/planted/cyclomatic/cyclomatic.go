// Package planted holds a case that a linter has to find.
package planted

func branches(n int) int {
	switch n {
	case 1:
		return 1
	case 2:
		return 4
	case 3:
		return 9
	case 4:
		return 16
	case 5:
		return 25
	case 6:
		return 36
	case 7:
		return 49
	case 8:
		return 64
	case 9:
		return 81
	case 10:
		return 100
	case 11:
		return 121
	case 12:
		return 144
	case 13:
		return 169
	case 14:
		return 196
	case 15:
		return 225
	case 16:
		return 256
	}
	return 0
}
