package job

import (
	"math"
	"strings"
	"testing"

	"tulipshelf/internal/wire"
)

func valid() map[string]any {
	return map[string]any{"uid": "wk-000412", "lane": "train", "crew": "vision", "shape": "array", "rank": "high",
		"tickets": 16, "cpus": 8, "gpus": 1.0, "ram_gb": 64.0, "bundle": "img-07", "image_gb": 6.2,
		"builds": []string{"g8"}, "depot": nil, "same_place": true, "apart": false, "loaners": true,
		"expect_s": 240.0, "stash_every_s": 30.0, "stash_s": 4.0, "due_s": 900.0}
}

func TestDecode(t *testing.T) {
	s, err := Decode(wire.Marshal(valid()))
	if err != nil || s.Tasks != 16 || s.CPUs != 8 || s.Rank() != High || s.Zone != "" || len(s.Types) != 1 || s.DueS != 900 {
		t.Fatalf("%+v, %v", s, err)
	}
	// Null is the same as left out, and unknown fields are ignored.
	m := valid()
	delete(m, "depot")
	delete(m, "due_s")
	m["builds"], m["colour"] = nil, "red"
	if s, err = Decode(wire.Marshal(m)); err != nil || s.Types != nil || s.DueS != 0 {
		t.Fatalf("%+v, %v", s, err)
	}
	for _, x := range []struct {
		field string
		value any
	}{
		{"uid", "wk-12"}, {"uid", "wk-00041x"}, {"uid", 5}, {"lane", ""}, {"crew", nil}, {"shape", "tree"}, {"rank", "top"},
		{"tickets", 0}, {"tickets", MaxTasks + 1}, {"tickets", 1.5}, {"tickets", "3"}, {"cpus", -0.5}, {"cpus", math.NaN()},
		{"gpus", math.Inf(1)}, {"ram_gb", nil}, {"image_gb", "big"}, {"same_place", nil}, {"apart", 1}, {"due_s", -1.0},
		{"bundle", strings.Repeat("x", 300)}, {"builds", "g8"}, {"builds", []string{""}}, {"depot", ""},
	} {
		m := valid()
		m[x.field] = x.value
		if _, err := Decode(wire.Marshal(m)); err == nil {
			t.Errorf("%s = %v is taken", x.field, x.value)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(wire.Marshal(valid()))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte("\xa2\x63uid\x61x\x63uid\x61y"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		id, err := DecodeID(data)
		if err != nil || id != s.ID || !ValidID(id) {
			t.Fatalf("id %q, %v", id, err)
		}
		if s.Tasks < 1 || s.Tasks > MaxTasks || !(s.CPUs >= 0) || math.IsInf(s.CPUs, 0) {
			t.Fatalf("%+v", s)
		}
	})
}
