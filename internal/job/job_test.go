package job

import (
	"errors"
	"math"
	"strings"
	"testing"

	"tulipshelf/internal/wire"
)

// validSubmission returns the fields of a submission that is accepted.
func validSubmission() map[string]any {
	return map[string]any{"uid": "wk-000412", "lane": "train", "crew": "vision", "shape": "array", "rank": "high",
		"tickets": 16, "cpus": 8, "gpus": 1.0, "ram_gb": 64.0, "bundle": "img-07", "image_gb": 6.2,
		"builds": []string{"g8"}, "depot": nil, "same_place": true, "apart": false, "loaners": true,
		"expect_s": 240.0, "stash_every_s": 30.0, "stash_s": 4.0, "due_s": 900.0}
}

func TestDecode(t *testing.T) {
	spec, err := Decode(wire.Marshal(validSubmission()))
	if err != nil || spec.Tasks != 16 || spec.CPUs != 8 || spec.Rank() != RankHigh || spec.Zone != "" || len(spec.Types) != 1 || spec.DueS != 900 {
		t.Fatalf("Decode returned %+v, %v; want the fields of validSubmission", spec, err)
	}
}

// A field that is null counts as missing, and unknown fields are ignored.
func TestDecodeOptionalFields(t *testing.T) {
	fields := validSubmission()
	delete(fields, "depot")
	delete(fields, "due_s")
	fields["builds"], fields["colour"] = nil, "red"
	if spec, err := Decode(wire.Marshal(fields)); err != nil || spec.Types != nil || spec.DueS != 0 {
		t.Fatalf("Decode returned %+v, %v; want no machine types and no deadline", spec, err)
	}
}

func TestDecodeRefuses(t *testing.T) {
	for _, test := range []struct {
		field string
		value any
	}{
		{"uid", "wk-12"}, {"uid", "wk-00041x"}, {"uid", 5}, {"lane", ""}, {"crew", nil}, {"shape", "tree"}, {"rank", "top"},
		{"tickets", 0}, {"tickets", MaxTasks + 1}, {"tickets", 1.5}, {"tickets", "3"}, {"cpus", -0.5}, {"cpus", math.NaN()},
		{"gpus", math.Inf(1)}, {"ram_gb", nil}, {"image_gb", "big"}, {"same_place", nil}, {"apart", 1}, {"due_s", -1.0},
		{"bundle", strings.Repeat("x", 300)}, {"builds", "g8"}, {"builds", []string{""}}, {"depot", ""},
	} {
		fields := validSubmission()
		fields[test.field] = test.value
		if _, err := Decode(wire.Marshal(fields)); err == nil {
			t.Errorf("%s = %v is accepted", test.field, test.value)
		}
	}
}

// The error is a FieldError that names the first invalid field. Users receive its text.
func TestDecodeFieldError(t *testing.T) {
	for _, test := range []struct {
		field string
		value any
		want  string
	}{
		{"crew", nil, "job: crew is missing, empty or too long"},
		{"cpus", -1.0, "job: cpus is out of range"},
		{"apart", nil, "job: apart is missing"},
		{"uid", "wk-12", "job: uid is not a job id"},
		{"shape", "tree", `job: shape "tree" is unknown`},
		{"rank", "top", "job: rank is unknown"},
		{"tickets", 0, "job: tickets is missing or out of range"},
		{"builds", []string{""}, "job: builds holds an empty or too long name"},
	} {
		fields := validSubmission()
		fields[test.field] = test.value
		_, err := Decode(wire.Marshal(fields))
		var fieldError FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != test.field || err.Error() != test.want {
			t.Errorf("%s = %v: error %v, want %s", test.field, test.value, err, test.want)
		}
	}
}

func TestTaskName(t *testing.T) {
	jobID, task, ok := ParseTaskName(TaskName("wk-000412", 15))
	if !ok || jobID != "wk-000412" || task != 15 {
		t.Errorf("ParseTaskName returned %q, %d, %v; want wk-000412, 15, true", jobID, task, ok)
	}
	for _, name := range []string{"", "wk-000412", "wk-000412/", "wk-000412/x", "wk-000412/-1"} {
		if _, _, ok := ParseTaskName(name); ok {
			t.Errorf("%q is accepted", name)
		}
	}
}

// Attempt numbers of a later term are higher than all those of an earlier term.
func TestAttemptNumber(t *testing.T) {
	last, next := AttemptNumber(3, 1<<24-1), AttemptNumber(4, 0)
	if last >= next || (AttemptID{Number: last}).Term() != 3 || (AttemptID{Number: next}).Term() != 4 {
		t.Errorf("last number of term 3 is %d, first of term 4 is %d; want them ascending, with these terms", last, next)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(wire.Marshal(validSubmission()))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte("\xa2\x63uid\x61x\x63uid\x61y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := Decode(data)
		if err != nil {
			return
		}
		id, err := DecodeID(data)
		if err != nil || id != spec.ID || !ValidID(id) {
			t.Fatalf("DecodeID returned %q, %v for the accepted job %q", id, err, spec.ID)
		}
		if spec.Tasks < 1 || spec.Tasks > MaxTasks || !(spec.CPUs >= 0) || math.IsInf(spec.CPUs, 0) {
			t.Fatalf("Decode accepted %+v, whose number of tasks or CPUs is out of range", spec)
		}
	})
}
