package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestOperator(t *testing.T) {
	operator, err := ParseOperator([]byte("; ours\n(index (smoothing-s 8))\n(rental\n  (idle-return-s 30) (reserve-share 0.3))\n"))
	want := DefaultOperator()
	want.Smoothing, want.IdleReturn, want.Reserve = 8*time.Second, 30*time.Second, 0.3
	if err != nil || !reflect.DeepEqual(operator, want) {
		t.Errorf("got %+v, error %v, want %+v", operator, err, want)
	}
}

// TestOperatorRefused guards against errors that do not name the line, the setting and the reason.
func TestOperatorRefused(t *testing.T) {
	for data, want := range map[string]string{
		"(index (smoothing-s 8)":                  "line 1: list is not closed",
		"(index smoothing-s 8)":                   "line 1: index: must hold entries",
		"(index (smoothing 8))":                   "line 1: index.smoothing: no such setting",
		"\n(indices (smoothing-s 8))":             "line 2: indices: no such group",
		"(index (smoothing-s x))":                 `line 1: index.smoothing-s: "x" is not a number`,
		"(index (smoothing-s 0))":                 "line 1: index.smoothing-s: 0 is not between",
		"(index (smoothing-s 8) (smoothing-s 8))": "line 1: index.smoothing-s: set twice",
		"(fleet (silent-s 30) (abandon-s 20))":    "fleet.abandon-s: must not be below",
		"\"x\"":                                   "line 1: unexpected",
		strings.Repeat("(", 100):                  "nested deeper",
	} {
		if _, err := ParseOperator([]byte(data)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q in it", data, err, want)
		}
	}
}

// TestOperatorAllFaults guards against errors that name only the first fault, and against faults that lose
// the types with their line and setting.
func TestOperatorAllFaults(t *testing.T) {
	_, err := ParseOperator([]byte("(index\n(smoothing-s x)\n(update-s 0))"))
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) || len(joined.Unwrap()) != 2 {
		t.Fatalf("error %v, want two joined faults", err)
	}
	var lineError LineError
	var fieldError FieldError
	last := joined.Unwrap()[1]
	if !errors.As(last, &lineError) || lineError.Line != 3 || !errors.As(last, &fieldError) || fieldError.Field != "index.update-s" {
		t.Errorf("fault %v, want index.update-s on line 3", last)
	}
}
