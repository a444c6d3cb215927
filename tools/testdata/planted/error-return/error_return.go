// Package planted holds a case that a linter has to find.
package planted

import "errors"

func first() (error, int) { return errors.New("failed"), 1 }
