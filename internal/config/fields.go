package config

// Parsing of single fields of JSON objects. A fault is recorded with the path of its field, and parsing
// continues with a value that may be invalid, so that all faults are reported at once.

import (
	"fmt"
	"math"
	"net/netip"
	"time"
)

// faults collects the faults of a whole file.
type faults struct{ errs []error }

func (f *faults) add(field, format string, args ...any) {
	f.errs = append(f.errs, FieldError{field, fmt.Sprintf(format, args...)})
}

// object is one JSON object.
type object struct {
	faults *faults
	path   string // prefix of its fields' names: "" or a path with a final dot
	fields map[string]any
}

func (o object) fault(name, format string, args ...any) {
	o.faults.add(o.path+name, format, args...)
}

// has reports whether the field is present and not null.
func (o object) has(name string) bool { return o.fields[name] != nil }

// object returns the object in a field. If there is none, it records one fault and returns an empty object
// whose missing fields are not recorded.
func (o object) object(name string) object {
	fields, ok := o.fields[name].(map[string]any)
	if !ok {
		o.fault(name, "must be an object")
		ignored := &faults{}
		return object{faults: ignored}
	}
	return object{o.faults, o.path + name + ".", fields}
}

// values returns the elements of a list. A field that is not a list is a fault.
func (o object) values(name string) []any {
	values, ok := o.fields[name].([]any)
	if !ok {
		o.fault(name, "must be a list")
	}
	return values
}

// objects returns the elements of a list of objects. An element that is not an object is a fault and is
// left out.
func (o object) objects(name string) []object {
	var objects []object
	for i, value := range o.values(name) {
		path := fmt.Sprintf("%s%s[%d]", o.path, name, i)
		fields, ok := value.(map[string]any)
		if !ok {
			o.faults.add(path, "must be an object")
			continue
		}
		objects = append(objects, object{o.faults, path + ".", fields})
	}
	return objects
}

// texts returns the elements of a list of texts. An element that is empty or not a text is a fault and is
// returned as "".
func (o object) texts(name string) []string {
	var texts []string
	for i, value := range o.values(name) {
		text, ok := value.(string)
		if !ok || text == "" {
			o.fault(fmt.Sprintf("%s[%d]", name, i), "must be a text")
		}
		texts = append(texts, text)
	}
	return texts
}

// text returns a text. A field that is missing, empty or not a text is a fault.
func (o object) text(name string) string {
	text, ok := o.fields[name].(string)
	if !ok || text == "" {
		o.fault(name, "must be a text that is not empty")
	}
	return text
}

// optionalText returns a text, or "" if the field is missing or not a text.
func (o object) optionalText(name string) string {
	text, _ := o.fields[name].(string)
	return text
}

// addr returns an IPv4 address and port. Any other text is a fault.
func (o object) addr(name string) string {
	text := o.text(name)
	if text == "" {
		return text
	}
	if addr, err := netip.ParseAddrPort(text); err != nil || !addr.Addr().Is4() {
		o.fault(name, "%q must be an IPv4 address and port", text)
	}
	return text
}

// number returns a number. A field that is not a number from minimum to maximum is a fault. The bounds
// guard against values in another unit and against meaningless values. They are wider than the range of
// sensible values.
func (o object) number(name string, minimum, maximum float64) float64 {
	number, ok := o.fields[name].(float64)
	if !ok {
		o.fault(name, "must be a number")
		return minimum
	}
	if math.IsNaN(number) || number < minimum || number > maximum {
		o.fault(name, "%v is not between %v and %v", number, minimum, maximum)
	}
	return number
}

// optionalNumber returns 0 if the field is missing or null, and otherwise what number returns.
func (o object) optionalNumber(name string, minimum, maximum float64) float64 {
	if !o.has(name) {
		return 0
	}
	return o.number(name, minimum, maximum)
}

// seconds returns a duration given in seconds, with bounds in seconds like those of number.
func (o object) seconds(name string, minimum, maximum float64) time.Duration {
	return seconds(o.number(name, minimum, maximum))
}

// optionalSeconds returns 0 if the field is missing or null, and otherwise what seconds returns.
func (o object) optionalSeconds(name string, minimum, maximum float64) time.Duration {
	return seconds(o.optionalNumber(name, minimum, maximum))
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }
