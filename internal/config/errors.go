package config

// Errors. Reading a file returns errors.Join of one error for each fault.

import (
	"errors"
	"fmt"
)

// FieldError reports a setting that is missing or has a value that is not allowed.
type FieldError struct {
	Field  string // path of the setting in its file, such as params.teams[0].cpus or index.smoothing-s
	Reason string // such as "must be a number"
}

// Error returns the field and the reason.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// LineError is a fault on one line of the operator file.
type LineError struct {
	Line int   // number of the line, from 1
	Err  error // the fault
}

// Error returns the line and the fault.
func (e LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the fault, which is a FieldError if it concerns a named group or setting.
func (e LineError) Unwrap() error { return e.Err }

// prefixEach prefixes each of the joined errors with the file's path. An error that joins none is
// prefixed itself.
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
