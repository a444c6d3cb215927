package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"
)

// setting describes one entry of the operator file.
type setting struct {
	least, most float64
	seconds     *time.Duration
	number      *float64
}

func (o *Operator) entries() map[string]map[string]setting {
	return map[string]map[string]setting{
		"index": {
			"smoothing-s": {0.1, 600, &o.Smoothing, nil},
			"update-s":    {0.1, 60, &o.IndexUpdate, nil},
		},
		"leader": {
			"gather-s": {0, 600, &o.ReconcileTimeout, nil},
			"lease-s":  {1, 120, &o.LeaderLease, nil},
		},
		"fleet": {
			"silent-s":  {1, 600, &o.UnhealthyAfter, nil},
			"abandon-s": {1, 3600, &o.ReplaceAfter, nil},
		},
		"rental": {
			"idle-return-s": {0, 86400, &o.IdleReturn, nil},
			"reserve-share": {0, 10, nil, &o.Reserve},
		},
	}
}

// ReadOperator reads the operator file at path; an empty path gives the
// defaults.
func ReadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("config: %w", err)
	}
	o, err := ParseOperator(data)
	if err != nil {
		return Operator{}, prefixEach(path, err)
	}
	return o, nil
}

// ParseOperator reads forms such as (index (smoothing-s 4) (update-s 1)).
func ParseOperator(data []byte) (Operator, error) {
	o := DefaultOperator()
	forms, err := parseSexp(data)
	if err != nil {
		return o, errors.Join(err)
	}
	var errs []error
	fault := func(line int, format string, args ...any) {
		errs = append(errs, fmt.Errorf("line %d: %s", line, fmt.Sprintf(format, args...)))
	}
	known := o.entries()
	seen := map[string]bool{}
	for _, form := range forms {
		if !form.isList || len(form.list) == 0 || form.list[0].isList {
			fault(form.line, "must be a group such as (index (smoothing-s 4))")
			continue
		}
		group := form.list[0].atom
		settings, ok := known[group]
		if !ok {
			fault(form.line, "%s: no such group", group)
			continue
		}
		for _, e := range form.list[1:] {
			if !e.isList || len(e.list) != 2 || e.list[0].isList || e.list[1].isList {
				fault(e.line, "%s: must hold entries such as (name 4)", group)
				continue
			}
			name, text := group+"."+e.list[0].atom, e.list[1].atom
			s, ok := settings[e.list[0].atom]
			switch v, err := strconv.ParseFloat(text, 64); {
			case !ok:
				fault(e.line, "%s: no such setting", name)
			case seen[name]:
				fault(e.line, "%s: set twice", name)
			case err != nil || math.IsNaN(v):
				fault(e.line, "%s: %q is not a number", name, text)
			case v < s.least || v > s.most:
				fault(e.line, "%s: %v is not between %v and %v", name, v, s.least, s.most)
			case s.seconds != nil:
				*s.seconds = seconds(v)
			default:
				*s.number = v
			}
			seen[name] = true
		}
	}
	if o.ReplaceAfter < o.UnhealthyAfter {
		errs = append(errs, fmt.Errorf("fleet.abandon-s: must not be below fleet.silent-s"))
	}
	return o, errors.Join(errs...)
}
