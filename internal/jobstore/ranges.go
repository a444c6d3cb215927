// This file encodes sets of numbers as ranges, such as "0-5,9".

package jobstore

import (
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/job"
)

// rangeWriter builds a text of ranges.
type rangeWriter struct{ text strings.Builder }

// add appends the numbers from first to last, which are beyond those added before.
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

// String returns the ranges added so far.
func (w *rangeWriter) String() string { return w.text.String() }

// eachInRanges calls visit for each number of a text of ranges until it fails. The error wraps
// ErrMalformed if the text is not one, and is visit's own otherwise.
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

// numberRange is the numbers from first to last.
type numberRange struct{ first, last int }

// parseRange parses one range, a number or two with a hyphen between them. No number may exceed
// the most tasks of a job, which bounds what a malformed value makes its reader do.
func parseRange(text string) (numberRange, error) {
	firstText, lastText, isPair := strings.Cut(text, "-")
	first, err := strconv.Atoi(firstText)
	last := first
	if err == nil && isPair {
		last, err = strconv.Atoi(lastText)
	}
	isValid := 0 <= first && first <= last && last <= job.MaxTasks
	if err != nil || !isValid {
		return numberRange{}, fmt.Errorf("%w: range %q", ErrMalformed, text)
	}
	return numberRange{first, last}, nil
}
