package controller

import (
	"reflect"
	"testing"
	"time"

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/job"
	"tulipshelf/internal/ledger"
	"tulipshelf/internal/wire"
)

// A machine known only from the records has no zone yet, so nothing may be
// concluded from the tasks on it (rule wrong_place, by same_place and apart).
func TestUnknownZone(t *testing.T) {
	now := time.Unix(0, 0)
	l := &lead{fleet: fleet.New(), zones: []string{"a", "b"}}
	book := ledger.NewBook()
	rec := ledger.Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: 3}, Chunk: 4}
	j, _, err := book.PutJob(wire.Marshal(rec), 1)
	if err != nil {
		t.Fatal(err)
	}
	l.fleet.Add("vm-1", now).Zone = 1
	unknown := l.fleet.Add("vm-2", now)
	unknown.Zone = -1
	book.Start(j, 0, book.NextTry(1), "vm-1", 1, now)
	if in, known := l.inZones(j); !known || !reflect.DeepEqual(in, []int{0, 1}) {
		t.Errorf("%v, known %v", in, known)
	}
	book.Start(j, 1, book.NextTry(1), "vm-2", 1, now)
	if in, known := l.inZones(j); known || in[1] != 1 {
		t.Errorf("%v, known %v", in, known)
	}
	unknown.Zone = 0
	if in, known := l.inZones(j); !known || !reflect.DeepEqual(in, []int{1, 1}) {
		t.Errorf("%v, known %v", in, known)
	}
}
