package job

import (
	"fmt"
	"math"
)

// maxAmount is far above every amount that is meant.
const maxAmount = 1e9

// checker checks the fields of a submission and keeps the first fault.
type checker struct{ fault error }

func (c *checker) bad(field, why string) {
	if c.fault == nil {
		c.fault = fmt.Errorf("job: %s %s", field, why)
	}
}

func (c *checker) text(field string, p *string) string {
	if p == nil || *p == "" || len(*p) > maxText {
		c.bad(field, "is missing, empty or too long")
		return ""
	}
	return *p
}

func (c *checker) amount(field string, p *float64) float64 {
	if p == nil {
		c.bad(field, "is missing")
		return 0
	}
	if math.IsNaN(*p) || *p < 0 || *p > maxAmount {
		c.bad(field, "is out of range")
	}
	return *p
}

func (c *checker) flag(field string, p *bool) bool {
	if p == nil {
		c.bad(field, "is missing")
		return false
	}
	return *p
}

func (c *checker) id(id string) {
	if !ValidID(id) {
		c.bad("uid", "is not a job id")
	}
}

func (c *checker) shape(s Shape) {
	if s != Array && s != Service && s != Gang {
		c.bad("shape", fmt.Sprintf("%.20q is unknown", string(s)))
	}
}

func (c *checker) priority(name string) {
	if _, ok := priorities[name]; !ok {
		c.bad("rank", "is unknown")
	}
}

func (c *checker) tasks(n *int64) int {
	if n == nil || *n < 1 || *n > MaxTasks {
		c.bad("tickets", "is missing or out of range")
		return 0
	}
	return int(*n)
}

func (c *checker) types(names []string) []string {
	for _, name := range names {
		if name == "" || len(name) > maxText {
			c.bad("builds", "holds an empty or too long name")
		}
	}
	return names
}
