package controller

// A reader of stored values that has the fields of the production version.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// Types for decoding stored values as the production version does. They have the fields that it reads,
// under the names that it uses. In this order, they are a job's record, an attempt in a chunk, a chunk
// of a job's tasks, a job's final state, the autoscaler's estimates and the term.
type (
	productionRecord struct {
		Spec        *job.Spec `cbor:"spec"`
		AtMS        int64     `cbor:"at_ms"`
		Arrival     uint64    `cbor:"arrival"`
		CancelledMS int64     `cbor:"cancelled_ms"`
		Chunk       int       `cbor:"chunk"`
	}
	productionAttempt struct {
		_       struct{} `cbor:",toarray"`
		Task    int
		Try     uint64
		Machine string
		Session uint64
	}
	productionChunk struct {
		Done string              `cbor:"done"`
		Live []productionAttempt `cbor:"live"`
	}
	productionEnd struct {
		Status string `cbor:"status"`
		Tasks  int    `cbor:"tasks"`
	}
	productionEstimates struct {
		Estimates struct {
			Sum     float64               `cbor:"sum"`
			LastMS  int64                 `cbor:"last_ms"`
			Learned map[string][2]float64 `cbor:"learned"`
		} `cbor:"estimates"`
		Failing []string `cbor:"failing"`
	}
	productionTerm struct {
		Term uint64 `cbor:"term"`
	}
)

// Guards against values that the production version cannot read when it leads again during an upgrade.
// What this version stores, with a gang among the jobs, is decoded with production's fields, except for
// the relay's messages, which are decoded with this version's. The only kind of key that production
// lacks is gangsKey, which it ignores.
func TestProductionReadsStoredValues(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(6)
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Array, 300, 20))
		c.runGang(newGang(6, 300))
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000003", job.Array, 2, 2))
		c.waitUntil("wk-000003 done", time.Minute, c.isDone("wk-000003"))
		c.waitUntil("wk-000002/40 done", 2*time.Minute, func() bool { return c.invariants.Completed("wk-000002/40") })
		time.Sleep(12 * time.Second)
		c.partitionZone()
		time.Sleep(16 * time.Second)
		c.hangMachines()
		c.waitUntil("cancellation of wk-000001 confirmed", 10*time.Second, func() bool { return c.requestCancel(c.leader(), "wk-000001").Status == 200 })

		reader := productionReader{t: t, cancelledJob: "wk-000001", read: map[string]int{}}
		for _, item := range c.storedItems() {
			reader.readItem(item)
		}
		for _, kind := range []string{"job", "chunk", "end", "rental/memo", "lead/term", "relay/up/", "relay/down/", gangsKey} {
			if reader.read[kind] == 0 {
				t.Errorf("no value of kind %s is stored; values by kind: %v", kind, reader.read)
			}
		}
		delete(reader.read, gangsKey)
		if len(reader.read) > 9 { // the other seven kinds above, catalog and lead/holder
			t.Errorf("%d kinds of keys, but production has 9; values by kind: %v", len(reader.read), reader.read)
		}
		c.resumeMachines()
		c.heal()
	})
}

// productionReader decodes stored values with the fields of the production version.
type productionReader struct {
	t            *testing.T
	cancelledJob string         // ID of the only job that was cancelled
	read         map[string]int // number of values read, by kind: job, chunk, end, or a key's first two parts
}

// readItem decodes one value and checks the fields that production needs. It only counts the catalog,
// the leader's key and keys of unknown kinds.
func (r *productionReader) readItem(item kvstore.Item) {
	key := item.Key
	id, chunk, isJobKey := jobstore.SplitKey(key)
	isJobKey = isJobKey && strings.HasPrefix(key, jobstore.JobPrefix)
	kind := strings.Join(strings.SplitAfterN(key, "/", 3)[:min(2, strings.Count(key, "/")+1)], "")
	switch {
	case isJobKey && chunk < 0:
		r.readRecord(item, id)
		kind = "job"
	case isJobKey:
		r.readChunk(item)
		kind = "chunk"
	case strings.HasPrefix(key, "end/"):
		var end productionEnd
		r.decode(item, &end)
		if end.Status != jobstore.StatusDone || end.Tasks != 2 {
			r.t.Errorf("%s: read as %+v, want status %s and 2 tasks", key, end, jobstore.StatusDone)
		}
		kind = "end"
	case key == "rental/memo":
		var stored productionEstimates
		if r.decode(item, &stored); stored.Estimates.Sum == 0 || stored.Estimates.LastMS == 0 {
			r.t.Errorf("%s: read as %+v, want sum and last_ms of the estimates other than 0", key, stored)
		}
	case key == "lead/term":
		var term productionTerm
		if r.decode(item, &term); term.Term == 0 {
			r.t.Errorf("%s: read as %+v, want a term other than 0", key, term)
		}
	case strings.HasPrefix(key, relay.UpPrefix):
		r.decode(item, &relay.HeartbeatBatch{})
	case strings.HasPrefix(key, "relay/down/"):
		r.decode(item, &relay.CommandBatch{})
	}
	r.read[kind]++
}

func (r *productionReader) readRecord(item kvstore.Item, id string) {
	var record productionRecord
	r.decode(item, &record)
	if record.Spec == nil || record.Spec.ID != id || record.Chunk < 1 || record.AtMS == 0 || (id == r.cancelledJob) != (record.CancelledMS != 0) {
		r.t.Errorf("%s: read as %+v, want the job's own spec, a chunk size above 0, at_ms other than 0, and cancelled_ms other than 0 for %s only",
			item.Key, record, r.cancelledJob)
	}
}

func (r *productionReader) readChunk(item kvstore.Item) {
	var chunk productionChunk
	r.decode(item, &chunk)
	for _, attempt := range chunk.Live {
		if attempt.Machine == "" || attempt.Session == 0 || attempt.Try == 0 {
			r.t.Errorf("%s: live attempt read as %+v, want a machine, a session and a try other than 0", item.Key, attempt)
		}
	}
}

func (r *productionReader) decode(item kvstore.Item, into any) {
	if err := wire.Unmarshal(item.Value, into); err != nil {
		r.t.Errorf("%s: decode as production does: %v", item.Key, err)
	}
}
