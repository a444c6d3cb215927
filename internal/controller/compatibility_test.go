package controller

// What older versions have stored and sent is understood, and what this version stores and sends is
// understood by them.

import (
	"bufio"
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/peer"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// fixtures are what older versions have written.
var fixtures = []string{"production", "previous"}

// keptBy returns what an older version has written, by key.
func keptBy(t *testing.T, version string) map[string][]byte {
	t.Helper()
	f, err := os.Open("testdata/" + version + ".txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	out := map[string][]byte{}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		key, text, ok := strings.Cut(lines.Text(), " ")
		if !ok || key == "#" {
			continue
		}
		if out[key], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// begin ends all controllers, writes what production has left, and starts them anew.
func (c *cluster) begin(kept map[string][]byte) {
	for i := range 3 {
		c.kill(i)
	}
	for key, value := range kept {
		if strings.Contains(key, "/") {
			c.store.Put(key, value)
		}
		if id, chunk, ok := jobstore.SplitKey(key); ok && chunk < 0 && strings.HasPrefix(key, jobstore.JobPrefix) {
			rec, err := jobstore.DecodeRecord(value)
			if err != nil {
				c.t.Fatal(id, err)
			}
			c.referee.AddJob(rec.Spec)
		}
	}
	c.cloud.Begin(1000)
	c.offer(24, 96)
	for i := range 3 {
		c.start(i)
	}
}

// bringAbout brings about the state that testdata/previous.txt tells of.
func (c *cluster) bringAbout() {
	c.t.Helper()
	c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
	c.large()
	c.until("all serve", 10*time.Second, func() bool { return c.serves(0) && c.serves(1) && c.serves(2) })
	c.runService(6)
	mistaken := submission("wk-000006", job.Array, 20, 5)
	mistaken["lane"] = fake.FailingClass
	c.accept(5*time.Second, 0, mistaken)
	c.accept(5*time.Second, 0, submission("wk-000002", job.Array, 3, 2))
	c.until("done", time.Minute, c.done("wk-000002"))
	c.accept(5*time.Second, 0, submission("wk-000003", job.Array, 2, 60))
	c.until("runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000003") == 2 })
	c.abort(1, "wk-000003")
	c.until("over", time.Minute, func() bool { return len(c.store.Keys("end/wk-000003")) == 1 })
	c.accept(5*time.Second, 0, submission("wk-000005", job.Service, 4, 0))
	c.until("runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000005") == 4 })
	c.runGang(gang(4, 600))
	c.accept(5*time.Second, 0, submission("wk-000004", job.Array, 300, 10))
	c.until("some done", 2*time.Minute, func() bool { return c.referee.Ended("wk-000004/120") })
	c.cutZone()
	time.Sleep(16 * time.Second)
	for _, w := range c.cloud.Machines() {
		if w.Has("wk-000005") {
			w.Hang(true)
		}
	}
	c.abort(c.leader(), "wk-000005")
	time.Sleep(2 * time.Second)
}

// What an older version has written is taken over: what is over stays so, what is done is not
// done again, what was cancelled is, and what runs no more runs again; also while the
// controllers are replaced one at a time, one of them ending twice.
func TestRecordsOfOlderVersionsAreTakenOver(t *testing.T) {
	for _, version := range fixtures {
		for name, roll := range map[string]bool{"at once": false, "replaced one at a time": true} {
			t.Run(version+", "+name, func(t *testing.T) {
				simulate(t, func(c *cluster) {
					kept := keptBy(c.t, version)
					c.begin(kept)
					if roll {
						for i := range 3 {
							time.Sleep(6 * time.Second)
							c.kill(i)
							time.Sleep(time.Second)
							c.start(i)
							if i == 1 {
								time.Sleep(300 * time.Millisecond)
								c.kill(i)
								c.start(i)
							}
						}
					}
					c.over(2*time.Minute, map[string]string{"wk-000002": jobstore.StatusDone, "wk-000003": jobstore.StatusCancelled,
						"wk-000004": jobstore.StatusDone, "wk-000005": jobstore.StatusCancelled})
					c.until("the service runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000001") == 6 })
					if kept[jobstore.JobKey(gangID)] != nil {
						c.until("the gang runs again, whole", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
						c.accept(time.Second, 0, gang(4, 600))
					}
					mistaken := 0
					for task, n := range c.referee.StartsByTask() {
						id, k, _ := strings.Cut(task, "/")
						switch {
						case id == "wk-000006":
							mistaken += n
						case id == "wk-000005" || id == "wk-000004" && len(k) < 3 && k != "":
							t.Errorf("%s was started", task)
						}
					}
					if mistaken > 30 {
						t.Errorf("a job known to fail everywhere was started %d times", mistaken)
					}
					if s := c.status(1, "wk-000006"); s != "pending" && s != "running" {
						t.Errorf("a job that fails is %s", s)
					}
				})
			})
		}
	}
}

// A heartbeat of an older version is understood, and of this version's heartbeat older ones read all that
// they know: nothing of that has changed its number or form.
func TestPeerHeartbeatIsCompatible(t *testing.T) {
	for version, want := range map[string]*peer.Heartbeat{
		"production": {Node: "shelf-1", Term: 1, Leader: "shelf-1", Cancelled: []string{"wk-000005"}},
		"previous":   {Node: "shelf-1", Term: 2, Leader: "shelf-0", Cancelled: []string{"wk-000003", "wk-000005"}, Gangs: true},
	} {
		var b peer.Heartbeat
		if err := proto.Unmarshal(keptBy(t, version)["beat"], &b); err != nil {
			t.Fatal(version, err)
		}
		slices.Sort(b.Cancelled)
		if b.Node != want.Node || b.Term != want.Term || b.Leader != want.Leader || !slices.Equal(b.Cancelled, want.Cancelled) ||
			!b.Served || b.MemoryMs == 0 || b.KnownMs == 0 || b.Gangs != want.Gangs {
			t.Errorf("%s: %v", version, &b)
		}
	}
	now, err := proto.Marshal(&peer.Heartbeat{Node: "shelf-1", Term: 7, Leader: "shelf-2", Redirected: 3, Cancelled: []string{"wk-000001"},
		Served: true, MemoryMs: 5, KnownMs: 6, Gone: []*peer.Attempt{{Task: "wk-000001/0", Try: 9}}, Gangs: true})
	if err != nil {
		t.Fatal(err)
	}
	forms := map[protowire.Number]protowire.Type{}
	for len(now) > 0 {
		n, form, k := protowire.ConsumeField(now)
		if k < 0 {
			t.Fatal(protowire.ParseError(k))
		}
		if n <= 10 {
			forms[n] = form
		}
		now = now[k:]
	}
	text, number := protowire.BytesType, protowire.VarintType
	want := map[protowire.Number]protowire.Type{1: text, 2: number, 3: text, 4: number, 5: text, 6: number, 7: number, 8: number, 9: text, 10: number}
	if fmt.Sprint(forms) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", forms, want)
	}
}

var numbers = regexp.MustCompile("[0-9]+")

// keyForm returns a key without the numbers of jobs, controllers and parts.
func keyForm(key string) string { return numbers.ReplaceAllString(key, "#") }

// fieldsOf adds the names of all fields in a value, with where they stand in it.
func fieldsOf(value any, at string, into map[string]bool) {
	switch v := value.(type) {
	case map[any]any:
		for name, inner := range v {
			path := at + "." + numbers.ReplaceAllString(fmt.Sprint(name), "#")
			into[path] = true
			fieldsOf(inner, path, into)
		}
	case []any:
		for _, inner := range v {
			fieldsOf(inner, at+"[]", into)
		}
	}
}

// storedFields returns the fields of all values, by the form of their keys.
func storedFields(t *testing.T, kept map[string][]byte) map[string]bool {
	t.Helper()
	fields := map[string]bool{}
	for key, value := range kept {
		if key == "beat" {
			continue // protobuf: TestPeerHeartbeatIsCompatible
		}
		var decoded any
		if err := wire.Unmarshal(value, &decoded); err != nil {
			t.Fatal(key, err)
		}
		form := keyForm(key)
		fields[form] = true
		fieldsOf(decoded, form, fields)
	}
	return fields
}

// Every key and every field that an older version stores is stored by this one, under the same
// name, in the same state of affairs.
func TestStoredKeysAndFieldsAreKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.bringAbout()
		store := kvstore.New(c.net.Dial("reader"), stateAddr, 1e6, 1e6)
		page, err := store.List(context.Background(), "", "", 1000, kvstore.PriorityLease)
		if err != nil {
			c.t.Fatal(err)
		}
		now := map[string][]byte{}
		for _, item := range page.Items {
			now[item.Key] = item.Value
		}
		stored := storedFields(c.t, now)
		for _, version := range fixtures {
			for field := range storedFields(c.t, keptBy(c.t, version)) {
				if !stored[field] {
					c.t.Errorf("%s stores %s", version, field)
				}
			}
		}
		for _, w := range c.cloud.Machines() {
			w.Hang(false)
		}
		c.net.Partition(nil)
	})
}

// What production reads of a job, of a chunk of its tasks, of its end, and of the rest.
type (
	oldRecord struct {
		Spec        *job.Spec `cbor:"spec"`
		AtMS        int64     `cbor:"at_ms"`
		Arrival     uint64    `cbor:"arrival"`
		CancelledMS int64     `cbor:"cancelled_ms"`
		Chunk       int       `cbor:"chunk"`
	}
	oldAttempt struct {
		_       struct{} `cbor:",toarray"`
		Task    int
		Try     uint64
		Machine string
		Session uint64
	}
	oldChunk struct {
		Done string       `cbor:"done"`
		Live []oldAttempt `cbor:"live"`
	}
	oldFinal struct {
		Status string `cbor:"status"`
		Tasks  int    `cbor:"tasks"`
	}
	oldMemo struct {
		Estimates struct {
			Sum     float64               `cbor:"sum"`
			LastMS  int64                 `cbor:"last_ms"`
			Learned map[string][2]float64 `cbor:"learned"`
		} `cbor:"estimates"`
		Failing []string `cbor:"failing"`
	}
	oldTerm struct {
		Term uint64 `cbor:"term"`
	}
)

// All that this version writes, gangs included, is read by one that knows only what
// production does, and keys are of the forms that it knows or passes over.
func TestProductionReadsStoredValues(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(6)
		c.accept(5*time.Second, 0, submission("wk-000002", job.Array, 300, 20))
		m := gang(6, 300)
		c.runGang(m)
		c.accept(5*time.Second, 0, submission("wk-000003", job.Array, 2, 2))
		c.until("done", time.Minute, c.done("wk-000003"))
		c.until("some done", 2*time.Minute, func() bool { return c.referee.Ended("wk-000002/40") })
		time.Sleep(12 * time.Second)
		c.cutZone()
		time.Sleep(16 * time.Second)
		for _, w := range c.cloud.Machines() {
			w.Hang(true)
		}
		c.until("cancelled", 10*time.Second, func() bool { return c.ask(c.leader(), "POST", "/v1/jobs/wk-000001/abort", nil).Status == 200 })
		s := kvstore.New(c.net.Dial("reader"), stateAddr, 1e6, 1e6)
		page, err := s.List(context.Background(), "", "", 1000, kvstore.PriorityLease)
		if err != nil {
			t.Fatal(err)
		}
		seen := map[string]int{}
		read := func(key string, value []byte, into any) {
			if err := wire.Unmarshal(value, into); err != nil {
				t.Errorf("%s: %v", key, err)
			}
		}
		for _, it := range page.Items {
			id, chunk, ok := jobstore.SplitKey(it.Key)
			form := strings.Join(strings.SplitAfterN(it.Key, "/", 3)[:min(2, strings.Count(it.Key, "/")+1)], "")
			switch {
			case ok && strings.HasPrefix(it.Key, jobstore.JobPrefix) && chunk < 0:
				var r oldRecord
				read(it.Key, it.Value, &r)
				if r.Spec == nil || r.Spec.ID != id || r.Chunk < 1 || r.AtMS == 0 || (id == "wk-000001") != (r.CancelledMS != 0) {
					t.Errorf("%s: %+v", it.Key, r)
				}
				form = "job"
			case ok && strings.HasPrefix(it.Key, jobstore.JobPrefix):
				var v oldChunk
				read(it.Key, it.Value, &v)
				for _, a := range v.Live {
					if a.Machine == "" || a.Session == 0 || a.Try == 0 {
						t.Errorf("%s: %+v", it.Key, a)
					}
				}
				form = "chunk"
			case strings.HasPrefix(it.Key, "end/"):
				var f oldFinal
				read(it.Key, it.Value, &f)
				if f.Status != jobstore.StatusDone || f.Tasks != 2 {
					t.Errorf("%s: %+v", it.Key, f)
				}
				form = "end"
			case it.Key == estimatesKey:
				var m oldMemo
				if read(it.Key, it.Value, &m); m.Estimates.Sum == 0 || m.Estimates.LastMS == 0 {
					t.Errorf("%s: %+v", it.Key, m)
				}
			case it.Key == "lead/term":
				var v oldTerm
				if read(it.Key, it.Value, &v); v.Term == 0 {
					t.Errorf("%s: %+v", it.Key, v)
				}
			case strings.HasPrefix(it.Key, relay.UpPrefix):
				var m relay.HeartbeatBatch
				read(it.Key, it.Value, &m)
			case strings.HasPrefix(it.Key, "relay/down/"):
				var b relay.CommandBatch
				read(it.Key, it.Value, &b)
			}
			seen[form]++
		}
		for _, form := range []string{"job", "chunk", "end", "rental/memo", "lead/term", "relay/up/", "relay/down/", gangsKey} {
			if seen[form] == 0 {
				t.Errorf("nothing written of %s: %v", form, seen)
			}
		}
		delete(seen, gangsKey)
		if len(seen) > 9 {
			t.Errorf("keys that production does not know: %v", seen)
		}
		for _, w := range c.cloud.Machines() {
			w.Hang(false)
		}
		c.net.Partition(nil)
	})
}

// Gangs are taken once all controllers run them, and told to come back until then; a
// controller that starts later knows.
func TestGangsRefusedUntilAllControllersSupportThem(t *testing.T) {
	simulate(t, func(c *cluster) {
		for i := range 3 {
			c.kill(i)
		}
		c.start(0)
		c.start(1)
		time.Sleep(4 * time.Second)
		if s := c.submit(0, gang(2, 5)); s != 503 {
			t.Errorf("before the third is heard: %d", s)
		}
		if s := c.submit(0, gang(17, 5)); s != 422 {
			t.Errorf("beyond the limit: %d", s)
		}
		c.start(2)
		c.accept(5*time.Second, 0, gang(2, 5))
		c.until("done", time.Minute, c.done(gangID))
		for i := range 3 {
			c.kill(i)
		}
		c.start(1)
		again := gang(2, 5)
		again["uid"] = "wk-000501"
		c.accept(10*time.Second, 1, again)
		c.start(0)
		c.start(2)
	})
}
