package controller

// What older versions have stored and sent is understood, and what this version stores and sends is
// understood by them.

import (
	"bufio"
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
	"tulipshelf/internal/peer"
	"tulipshelf/internal/wire"
)

// fixtures names the older versions of which testdata holds what they store and send.
var fixtures = []string{"production", "previous"}

// readFixture returns what an older version stores, by key, and the heartbeat between controllers that
// it sends, under the key "beat".
func readFixture(t *testing.T, version string) map[string][]byte {
	t.Helper()
	file, err := os.Open("testdata/" + version + ".txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	values := map[string][]byte{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20) // a value may exceed the default length of a line
	for lines.Scan() {
		key, text, found := strings.Cut(lines.Text(), " ")
		if isComment := key == "#"; !found || isComment {
			continue
		}
		if values[key], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return values
}

// startFromRecords restarts the controllers on the records of an older version. It numbers machines from
// 1000, as the cloud has rented the lower ones to that version.
func (c *cluster) startFromRecords(records map[string][]byte) {
	c.killAll()
	for key, value := range records {
		if isStored := strings.Contains(key, "/"); isStored {
			c.store.Put(key, value)
		}
		if id, chunk, ok := jobstore.SplitKey(key); ok && chunk < 0 && strings.HasPrefix(key, jobstore.JobPrefix) {
			record, err := jobstore.DecodeRecord(value)
			if err != nil {
				c.t.Fatal(id, err)
			}
			c.invariants.AddJob(record.Spec)
		}
	}
	c.cloud.NumberMachinesFrom(1000)
	c.setCapacity(24, 96)
	c.startAll()
}

// createFixtureState brings the cluster into the state that the header of testdata/previous.txt describes.
func (c *cluster) createFixtureState() {
	c.t.Helper()
	c.waitForLeader(10 * time.Second)
	c.restartWithLargeFleet()
	c.waitUntilReady(10 * time.Second)
	c.runService(6)
	c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000006", job.Array, 20, 5).ofClass(fake.FailingClass))
	c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Array, 3, 2))
	c.waitUntil("done", time.Minute, c.isDone("wk-000002"))
	c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000003", job.Array, 2, 60))
	c.waitUntilRunningOf("wk-000003", 2, time.Minute)
	c.cancel(1, "wk-000003")
	c.waitUntil("the end is recorded", time.Minute, func() bool { return len(c.store.Keys("end/wk-000003")) == 1 })
	c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000005", job.Service, 4, 0))
	c.waitUntilRunningOf("wk-000005", 4, time.Minute)
	c.runGang(newGang(4, 600))
	c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000004", job.Array, 300, 10))
	c.waitUntil("some done", 2*time.Minute, func() bool { return c.invariants.Completed("wk-000004/120") })
	c.partitionZone()
	time.Sleep(16 * time.Second)
	for _, machine := range c.cloud.Machines() {
		if machine.HasTasksOf("wk-000005") {
			machine.SetFaults(fake.AgentFaults{Hung: true})
		}
	}
	c.cancel(c.leader(), "wk-000005")
	time.Sleep(2 * time.Second)
}

// The records of an older version are taken over: ended jobs stay ended, done tasks are not run again,
// cancelled ones do not start, and what the older version ran runs again; also while the controllers
// are replaced one at a time, one of them twice.
func TestRecordsOfOlderVersionsAreTakenOver(t *testing.T) {
	for _, version := range fixtures {
		for name, oneAtATime := range map[string]bool{"at once": false, "replaced one at a time": true} {
			t.Run(version+", "+name, func(t *testing.T) {
				simulate(t, func(c *cluster) { testRecordsAreTakenOver(t, c, version, oneAtATime) })
			})
		}
	}
}

func testRecordsAreTakenOver(t *testing.T, c *cluster, version string, oneAtATime bool) {
	records := readFixture(t, version)
	c.startFromRecords(records)
	if oneAtATime {
		for i := range controllers {
			time.Sleep(6 * time.Second)
			c.restartAfter(i, time.Second)
			if i == 1 {
				time.Sleep(300 * time.Millisecond)
				c.restartAfter(i, 0)
			}
		}
	}
	c.waitForStatuses(2*time.Minute, map[string]string{"wk-000002": jobstore.StatusDone, "wk-000003": jobstore.StatusCancelled,
		"wk-000004": jobstore.StatusDone, "wk-000005": jobstore.StatusCancelled})
	c.waitUntilRunningOf("wk-000001", 6, time.Minute)
	if records[jobstore.JobKey(gangID)] != nil {
		c.waitForGangAttempts(1, time.Minute)
		c.submitUntilAccepted(time.Second, 0, newGang(4, 600))
	}
	for task := range c.invariants.StartsByTask() {
		id, index, _ := strings.Cut(task, "/")
		wasDone := id == "wk-000004" && len(index) < 3 && index != "" // its first 100 tasks
		if id == "wk-000005" || wasDone {
			t.Errorf("%s was started", task)
		}
	}
	if starts := c.startsOf("wk-000006"); starts > 30 {
		t.Errorf("a job that is known to always fail was started %d times", starts)
	}
	if status := c.status(1, "wk-000006"); status != "pending" && status != "running" {
		t.Errorf("a job that always fails is %s", status)
	}
}

// A heartbeat of an older version is understood, and older versions understand this version's: no field
// that they know has changed its number or wire type.
func TestPeerHeartbeatIsCompatible(t *testing.T) {
	for version, want := range map[string]*peer.Heartbeat{
		"production": {Node: "shelf-1", Term: 1, Leader: "shelf-1", Cancelled: []string{"wk-000005"}},
		"previous":   {Node: "shelf-1", Term: 2, Leader: "shelf-0", Cancelled: []string{"wk-000003", "wk-000005"}, Gangs: true},
	} {
		var got peer.Heartbeat
		if err := proto.Unmarshal(readFixture(t, version)["beat"], &got); err != nil {
			t.Fatal(version, err)
		}
		slices.Sort(got.Cancelled)
		if got.Node != want.Node || got.Term != want.Term || got.Leader != want.Leader || !slices.Equal(got.Cancelled, want.Cancelled) ||
			!got.Served || got.MemoryMs == 0 || got.KnownMs == 0 || got.Gangs != want.Gangs {
			t.Errorf("%s: %v", version, &got)
		}
	}
	encoded, err := proto.Marshal(&peer.Heartbeat{Node: "shelf-1", Term: 7, Leader: "shelf-2", Redirected: 3, Cancelled: []string{"wk-000001"},
		Served: true, MemoryMs: 5, KnownMs: 6, Gone: []*peer.Attempt{{Task: "wk-000001/0", Try: 9}}, Gangs: true})
	if err != nil {
		t.Fatal(err)
	}
	const knownFields = 10 // numbered from 1; later versions may add more
	types := map[protowire.Number]protowire.Type{}
	for len(encoded) > 0 {
		number, wireType, length := protowire.ConsumeField(encoded)
		if length < 0 {
			t.Fatal(protowire.ParseError(length))
		}
		if number <= knownFields {
			types[number] = wireType
		}
		encoded = encoded[length:]
	}
	text, number := protowire.BytesType, protowire.VarintType
	want := map[protowire.Number]protowire.Type{1: text, 2: number, 3: text, 4: number, 5: text, 6: number, 7: number, 8: number, 9: text, 10: number}
	if fmt.Sprint(types) != fmt.Sprint(want) {
		t.Errorf("%v, want %v", types, want)
	}
}

var digits = regexp.MustCompile("[0-9]+")

// keyPattern returns a key or field name with # in place of the numbers of jobs, controllers and chunks.
func keyPattern(key string) string { return digits.ReplaceAllString(key, "#") }

// addFields adds the paths of all fields inside a decoded value that stands at a path.
func addFields(paths map[string]bool, prefix string, value any) {
	switch value := value.(type) {
	case map[any]any:
		for name, inner := range value {
			path := prefix + "." + keyPattern(fmt.Sprint(name))
			paths[path] = true
			addFields(paths, path, inner)
		}
	case []any:
		for _, inner := range value {
			addFields(paths, prefix+"[]", inner)
		}
	}
}

// storedFields returns the patterns of all keys and the paths of all fields in their values.
func storedFields(t *testing.T, values map[string][]byte) map[string]bool {
	t.Helper()
	fields := map[string]bool{}
	for key, value := range values {
		if key == "beat" {
			continue // protobuf: TestPeerHeartbeatIsCompatible
		}
		var decoded any
		if err := wire.Unmarshal(value, &decoded); err != nil {
			t.Fatal(key, err)
		}
		pattern := keyPattern(key)
		fields[pattern] = true
		addFields(fields, pattern, decoded)
	}
	return fields
}

// Every key and field that an older version stores is stored by this one in the same state, under the
// same name.
func TestStoredKeysAndFieldsAreKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.createFixtureState()
		values := map[string][]byte{}
		for _, item := range c.storedItems() {
			values[item.Key] = item.Value
		}
		stored := storedFields(c.t, values)
		for _, version := range fixtures {
			for field := range storedFields(c.t, readFixture(c.t, version)) {
				if !stored[field] {
					c.t.Errorf("%s stores %s", version, field)
				}
			}
		}
		c.resumeMachines()
		c.heal()
	})
}

// Gangs are refused until all controllers are known to run them; a controller that starts later knows
// that from the store.
func TestGangsRefusedUntilAllControllersSupportThem(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.killAll()
		c.start(0)
		c.start(1)
		time.Sleep(4 * time.Second)
		if status := c.submit(0, newGang(2, 5)); status != 503 {
			t.Errorf("before the third controller has sent a heartbeat: %d", status)
		}
		if status := c.submit(0, newGang(17, 5)); status != 422 {
			t.Errorf("more than the maximum: %d", status)
		}
		c.start(2)
		c.submitUntilAccepted(5*time.Second, 0, newGang(2, 5))
		c.waitUntil("done", time.Minute, c.isDone(gangID))
		c.killAll()
		c.start(1)
		c.submitUntilAccepted(10*time.Second, 1, newGang(2, 5).withID("wk-000501"))
		c.start(0)
		c.start(2)
	})
}
