// Package planted holds a case that a linter has to find.
package planted

import "fmt"

func print(fmt string) string { return fmt }

var _ = fmt.Sprint
