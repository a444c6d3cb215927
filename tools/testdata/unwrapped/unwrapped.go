// Package unwrapped holds the cases that errorlint has to find, one per line.
package unwrapped

import (
	"fmt"
	"io"
	"strconv"
)

func wrap(err error) error { return fmt.Errorf("read: %v", err) }

func compare(err error) bool { return err == io.ErrUnexpectedEOF }

func assert(err error) bool { _, ok := err.(*strconv.NumError); return ok }
