package config

// Parsing of the operator file. The names and units of its settings are defined only here.

import (
	"errors"
	"fmt"
	"math"
	"os"
	"strconv"
	"time"
)

// setting is one setting of the operator file: a number with bounds.
type setting struct {
	minimum, maximum float64
	set              func(number float64) // stores the number
}

// settingGroups holds the settings by group and name.
type settingGroups map[string]map[string]setting

// settings returns all settings of the operator file. Their numbers are stored in the fields of o.
func (o *Operator) settings() settingGroups {
	duration := func(field *time.Duration) func(float64) {
		return func(number float64) { *field = seconds(number) }
	}
	number := func(field *float64) func(float64) {
		return func(number float64) { *field = number }
	}
	return settingGroups{
		"index": {
			"smoothing-s": {0.1, 600, duration(&o.Smoothing)},
			"update-s":    {0.1, 60, duration(&o.IndexUpdate)},
		},
		"leader": {
			"gather-s": {0, 600, duration(&o.ReconcileTimeout)},
			"lease-s":  {1, 120, duration(&o.LeaderLease)},
		},
		"fleet": {
			"silent-s":  {1, 600, duration(&o.UnhealthyAfter)},
			"abandon-s": {1, 3600, duration(&o.ReplaceAfter)},
		},
		"rental": {
			"idle-return-s": {0, 86400, duration(&o.IdleReturn)},
			"reserve-share": {0, 10, number(&o.Reserve)},
		},
	}
}

// ReadOperator reads and checks the operator file at path. An empty path gives the defaults. The error is
// one of the file system, or joins one error for each fault as ParseOperator does, each with the path
// before it.
func ReadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("config: %w", err)
	}
	operator, err := ParseOperator(data)
	if err != nil {
		return Operator{}, prefixEach(path, err)
	}
	return operator, nil
}

// ParseOperator parses groups such as (index (smoothing-s 4) (update-s 1)). Settings that are left out
// have the values of DefaultOperator. The error joins a LineError for each invalid group or entry and a
// FieldError for settings that contradict each other. If data is not a list of S-expressions, the error
// joins only the LineError of the first syntax error.
func ParseOperator(data []byte) (Operator, error) {
	operator := DefaultOperator()
	forms, err := parseSexp(data)
	if err != nil {
		return operator, errors.Join(err)
	}
	parser := operatorParser{groups: operator.settings(), seen: map[string]bool{}}
	for _, form := range forms {
		parser.group(form)
	}
	if operator.ReplaceAfter < operator.UnhealthyAfter {
		parser.errs = append(parser.errs, FieldError{"fleet.abandon-s", "must not be below fleet.silent-s"})
	}
	return operator, errors.Join(parser.errs...)
}

// operatorParser stores the settings of one file and collects its faults.
type operatorParser struct {
	groups settingGroups
	seen   map[string]bool // settings that have occurred, as GROUP.NAME
	errs   []error
}

func (p *operatorParser) fault(line int, err error) {
	p.errs = append(p.errs, LineError{line, err})
}

var errNoGroup = errors.New("must be a group such as (index (smoothing-s 4))")

// group stores the settings of a group such as (index (smoothing-s 4)).
func (p *operatorParser) group(form node) {
	if !form.isList || len(form.list) == 0 || form.list[0].isList {
		p.fault(form.line, errNoGroup)
		return
	}
	name := form.list[0].atom
	settings, ok := p.groups[name]
	if !ok {
		p.fault(form.line, FieldError{name, "no such group"})
		return
	}
	for _, entry := range form.list[1:] {
		p.entry(name, settings, entry)
	}
}

// entry stores one setting of a group, such as (smoothing-s 4).
func (p *operatorParser) entry(group string, settings map[string]setting, entry node) {
	if !entry.isPair() {
		p.fault(entry.line, FieldError{group, "must hold entries such as (name 4)"})
		return
	}
	name, value := entry.list[0].atom, entry.list[1].atom
	path := group + "." + name
	repeated := p.seen[path]
	p.seen[path] = true
	setting, ok := settings[name]
	if !ok {
		p.fault(entry.line, FieldError{path, "no such setting"})
		return
	}
	if repeated {
		p.fault(entry.line, FieldError{path, "set twice"})
		return
	}
	if reason := setting.parse(value); reason != "" {
		p.fault(entry.line, FieldError{path, reason})
	}
}

// parse parses and stores a number. If it is not allowed, parse returns the reason, and otherwise "".
func (s setting) parse(value string) (reason string) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		return fmt.Sprintf("%q is not a number", value)
	}
	if number < s.minimum || number > s.maximum {
		return fmt.Sprintf("%v is not between %v and %v", number, s.minimum, s.maximum)
	}
	s.set(number)
	return ""
}
