// This file encodes sets of numbers as ranges in text form, such as "0-5,9", and decodes them.

package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/job"
)

// rangeWriter builds the text form of a set of numbers.
type rangeWriter struct{ text strings.Builder }

// add appends the range from first to last, inclusive, which must be above all ranges added before.
func (w *rangeWriter) add(first, last int) {
	if w.text.Len() > 0 {
		w.text.WriteByte(',')
	}
	w.text.WriteString(strconv.Itoa(first))
	if last > first {
		w.text.WriteByte('-')
		w.text.WriteString(strconv.Itoa(last))
	}
}

// String returns the text form of the ranges added so far; "" is the empty set.
func (w *rangeWriter) String() string { return w.text.String() }

// eachInRanges calls visit for each number of a set in text form, and stops at the first error of visit,
// which it returns. The error wraps ErrMalformed if the text is malformed.
func eachInRanges(text string, visit func(number int) error) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		numbers, err := parseRange(part)
		if err != nil {
			return err
		}
		for number := numbers.first; number <= numbers.last; number++ {
			if err := visit(number); err != nil {
				return err
			}
		}
	}
	return nil
}

// numberRange is the range of numbers from first to last, inclusive.
type numberRange struct{ first, last int }

// parseRange parses one range: a number, or two numbers separated by a hyphen. The error wraps
// ErrMalformed.
//
// No number may exceed the maximum number of tasks of a job. Guards against unbounded work: a short
// malformed text such as "0-999999999" would make its reader visit all of these numbers.
func parseRange(text string) (numberRange, error) {
	firstText, lastText, isPair := strings.Cut(text, "-")
	first, err := strconv.Atoi(firstText)
	last := first
	if err == nil && isPair {
		last, err = strconv.Atoi(lastText)
	}
	isValid := 0 <= first && first <= last && last <= job.MaxTasks
	if err != nil || !isValid {
		return numberRange{}, fmt.Errorf("%w: range %q, want \"N\" or \"M-N\" with 0 <= M <= N <= %d",
			ErrMalformed, text, job.MaxTasks)
	}
	return numberRange{first, last}, nil
}
