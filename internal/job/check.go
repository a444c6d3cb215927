package job

// Checks of single fields of a submission.

import (
	"fmt"
	"math"
)

const (
	maxNameBytes = 200 // maximum length of a name or other text, in bytes
	maxAmount    = 1e9 // maximum of any amount, far above every plausible one in any unit
)

// FieldError is the error of one field of a submission that is missing or has a value that is not
// allowed. Users receive its text.
type FieldError struct {
	Field  string // name of the field in the protocol
	Reason string // predicate of the field, such as "is missing"
}

// Error returns the field and the reason.
func (e FieldError) Error() string { return "job: " + e.Field + " " + e.Reason }

var errInvalidID = FieldError{"uid", "is not a job id"}

// checker checks the fields of one submission and keeps the error of the first invalid one. Methods
// that return a value return the zero value if the field is missing.
type checker struct{ err error }

func (c *checker) fail(err FieldError) {
	if c.err == nil {
		c.err = err
	}
}

// text checks that a field has a text of 1 to maxNameBytes bytes.
func (c *checker) text(field string, value *string) string {
	if value == nil || *value == "" || len(*value) > maxNameBytes {
		c.fail(FieldError{field, "is missing, empty or too long"})
		return ""
	}
	return *value
}

// amount checks that a field has a number from 0 to maxAmount.
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

// flag checks that a Boolean field is present.
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

// taskCount checks that a field has a number from 1 to MaxTasks.
func (c *checker) taskCount(field string, value *int64) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		c.fail(FieldError{field, "is missing or out of range"})
		return 0
	}
	return int(*value)
}

// typeNames checks that each name has 1 to maxNameBytes bytes. Package api checks whether the catalog
// contains machine types with these names.
func (c *checker) typeNames(field string, names []string) []string {
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes {
			c.fail(FieldError{field, "holds an empty or too long name"})
		}
	}
	return names
}
