package job

// Checks of single fields of a submission.

import (
	"fmt"
	"math"
)

const (
	maxNameBytes = 200 // bytes of a name
	maxAmount    = 1e9 // far above every amount that is meant, in any unit
)

// FieldError says that one field of a submission is missing or has a value that is not allowed.
type FieldError struct {
	Field  string // its name in the protocol
	Reason string // a predicate, such as "is missing"
}

// Error returns the field and the reason.
func (e FieldError) Error() string { return "job: " + e.Field + " " + e.Reason }

var errInvalidID = FieldError{"uid", "is not a job id"}

// checker checks the fields of one submission and keeps the error of the first that is wrong. Its
// methods return the value, or a zero one of its type if there is none.
type checker struct{ err error }

func (c *checker) fail(err FieldError) {
	if c.err == nil {
		c.err = err
	}
}

// text requires a text that is neither empty nor longer than maxNameBytes.
func (c *checker) text(field string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxNameBytes {
		c.fail(FieldError{field, "is missing, empty or too long"})
		return ""
	}
	return *value
}

// amount requires a number from 0 to maxAmount.
func (c *checker) amount(field string, value *float64) float64 {
	if value == nil {
		c.fail(FieldError{field, "is missing"})
		return 0
	}
	if math.IsNaN(*value) || *value < 0 || *value > maxAmount {
		c.fail(FieldError{field, "is out of range"})
	}
	return *value
}

// flag requires a truth value.
func (c *checker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(FieldError{field, "is missing"})
		return false
	}
	return *value
}

func (c *checker) id(id string) {
	if !ValidID(id) {
		c.fail(errInvalidID)
	}
}

func (c *checker) shape(field string, shape Shape) {
	if !shape.valid() {
		c.fail(FieldError{field, fmt.Sprintf("%.20q is unknown", string(shape))})
	}
}

func (c *checker) priority(field string, priority Priority) {
	if !priority.valid() {
		c.fail(FieldError{field, "is unknown"})
	}
}

// taskCount requires a number from 1 to MaxTasks.
func (c *checker) taskCount(field string, value *int64) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		c.fail(FieldError{field, "is missing or out of range"})
		return 0
	}
	return int(*value)
}

// typeNames requires names that could be those of machine types; whether there are such types is
// checked against the catalog elsewhere.
func (c *checker) typeNames(field string, names []string) []string {
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes {
			c.fail(FieldError{field, "holds an empty or too long name"})
		}
	}
	return names
}
