// Package planted holds a case that a linter has to find.
package planted

import (
	"errors"
	"fmt"
)

func fail(n int) error { return errors.New(fmt.Sprintf("failed %d times", n)) }
