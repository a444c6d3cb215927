// Package planted holds a case that a linter has to find.
package planted

import "errors"

var failure = errors.New("failed")
