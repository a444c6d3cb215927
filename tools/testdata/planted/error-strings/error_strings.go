// Package planted holds a case that a linter has to find.
package planted

import "errors"

func fail() error { return errors.New("Failed to read.") }
