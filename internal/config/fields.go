package config

import (
	"fmt"
	"math"
	"net/netip"
)

// reader gathers the faults of a whole file.
type reader struct{ errs []error }

func (r *reader) fault(field, format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// object is one JSON object with the path that leads to it.
type object struct {
	r      *reader
	path   string
	fields map[string]any
}

func (o object) object(name string) object {
	m, ok := o.fields[name].(map[string]any)
	if !ok {
		o.r.fault(o.path+name, "must be an object")
		return object{&reader{}, "", nil} // its fields are not named one by one
	}
	return object{o.r, o.path + name + ".", m}
}

func (o object) values(name string) []any {
	l, ok := o.fields[name].([]any)
	if !ok {
		o.r.fault(o.path+name, "must be a list")
	}
	return l
}

func (o object) list(name string) []object {
	var out []object
	for i, v := range o.values(name) {
		path := fmt.Sprintf("%s%s[%d]", o.path, name, i)
		m, ok := v.(map[string]any)
		if !ok {
			o.r.fault(path, "must be an object")
			continue
		}
		out = append(out, object{o.r, path + ".", m})
	}
	return out
}

func (o object) text(name string) string {
	s, ok := o.fields[name].(string)
	if !ok || s == "" {
		o.r.fault(o.path+name, "must be a text that is not empty")
	}
	return s
}

func (o object) addr(name string) string {
	s := o.text(name)
	if s == "" {
		return s
	}
	if a, err := netip.ParseAddrPort(s); err != nil || !a.Addr().Is4() {
		o.r.fault(o.path+name, "%q must be an IPv4 address and port", s)
	}
	return s
}

func (o object) number(name string, least, most float64) float64 {
	f, ok := o.fields[name].(float64)
	if !ok {
		o.r.fault(o.path+name, "must be a number")
		return least
	}
	if math.IsNaN(f) || f < least || f > most {
		o.r.fault(o.path+name, "%v is not between %v and %v", f, least, most)
	}
	return f
}

func (o object) optional(name string, least, most float64) float64 {
	if o.fields[name] == nil {
		return 0
	}
	return o.number(name, least, most)
}
