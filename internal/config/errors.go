package config

import (
	"errors"
	"fmt"
)

// prefixEach puts the file's name before each of the joined errors.
func prefixEach(path string, err error) error {
	var out []error
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range j.Unwrap() {
			out = append(out, fmt.Errorf("%s: %w", path, e))
		}
		return errors.Join(out...)
	}
	return fmt.Errorf("%s: %w", path, err)
}
