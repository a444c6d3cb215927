package config

// Errors. Reading a file returns errors.Join of one error for each fault.

import (
	"errors"
	"fmt"
)

// FieldError says that one setting is missing or has a value that is not allowed.
type FieldError struct {
	Field  string // path of the setting in its file, such as params.teams[0].cpus or index.smoothing-s
	Reason string // such as "must be a number"
}

// Error returns the field and the reason.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// LineError says on which line of the operator file a fault is.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line and the fault.
func (e LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault, a FieldError if it is one of a group or a setting.
func (e LineError) Unwrap() error { return e.Err }

// prefixEach puts the file's path before each of the joined errors.
func prefixEach(path string, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return fmt.Errorf("%s: %w", path, err)
	}
	var prefixed []error
	for _, fault := range joined.Unwrap() {
		prefixed = append(prefixed, fmt.Errorf("%s: %w", path, fault))
	}
	return errors.Join(prefixed...)
}
