package controller

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// Sizes at which the work of the leader is measured. Times are not stable from machine to
// machine; what counts is by how much they grow from one size to the next.
var benchSizes = []int{1000, 2000, 4000, 8000}

// records returns what the state service keeps of services and arrays that fill so many
// machines with three tasks each, and as many waiting tasks as one machine in ten has.
func records(machines int) (items []fleetRecord) {
	// A machine has room for one task of one CPU more, so what waits for two finds none.
	add := func(i int, shape job.Shape, tasks int, live bool, first int) {
		id := jobID(i)
		spec := &job.Spec{ID: id, Class: "class", Team: "crew", Shape: shape, Priority: "standard", Tasks: tasks, CPUs: 1, RAM: 2,
			Image: fmt.Sprint("img-", i%20), ImageGB: 1, ExpectS: 60}
		if !live {
			spec.CPUs = 2
			spec.OneZone = shape == job.Gang
		}
		items = append(items, fleetRecord{key: jobstore.JobKey(id), value: wire.Marshal(jobstore.Record{Spec: spec, SubmittedMS: time.Now().UnixMilli(), ChunkSize: 145})})
		if live {
			items[len(items)-1].first, items[len(items)-1].tasks = first, tasks
		}
	}
	for i := range machines / 40 {
		add(i, job.Array, 100, true, i*100)
	}
	for i := range machines / 2 {
		add(100_000+i, job.Service, 1, true, machines/40*100+i)
	}
	for i := range machines / 100 {
		add(200_000+i, job.Array, 40, false, 0)
	}
	for i := range machines / 200 {
		add(300_000+i, job.Gang, 8, false, 0)
	}
	return items
}

// fleetRecord is a job's record, and which of the live tasks of all jobs are its.
type fleetRecord struct {
	key          string
	value        []byte
	first, tasks int
}

// benchLead returns a leader with so many machines, all of them heard.
func benchLead(b *testing.B, machines int) *leader {
	b.Helper()
	settings := &config.Settings{Node: nodeName(0), Listen: nodeAddr(0), StoreAddr: storeAddr, CloudAddr: cloudAddr, Zones: []string{"a", "b"},
		Teams:     []config.Team{{Name: "crew", GuaranteedCPUs: 1e6, MaxCPUs: math.Inf(1), MaxGPUs: math.Inf(1)}},
		Workers:   config.Workers{HeartbeatInterval: 5 * time.Second, Lease: 26 * time.Second, CancelDeadline: 51 * time.Second},
		Store:     config.StoreLimits{RPS: 800, WriteRPS: 300, ValueBytes: 8 << 10, TxnOps: 8},
		Cloud:     config.CloudLimits{RPS: 10, ListLag: 4 * time.Second},
		Resources: config.Resources{CPUShare: 1, MemBytes: 1 << 29, MaxSockets: 12_000}}
	l := newLeader(context.Background(), New(settings, config.DefaultOperator(), Network{}), &leadership.Term{})
	l.types = []cloud.Type{{Name: "box", CPUs: 4, RAM: 16, Hourly: 1, FetchRate: 1, Disk: 50, BootS: 50, Zones: []string{"a", "b"}}}
	l.typeIndex["box"], l.cutUntil = 0, make([]time.Time, 2)
	l.takeOver(b, machines)
	l.loaded.Store(true)
	return l
}

// takeOver reads the records and takes a report of each machine.
func (l *leader) takeOver(b *testing.B, machines int) {
	now := time.Now()
	tasks := make([][]agent.ReportedTask, machines)
	for _, r := range records(machines) {
		j, _, err := l.jobs.ApplyRecord(r.value, 1)
		if err != nil {
			b.Fatal(err)
		}
		l.addJob(j)
		for t := range r.tasks {
			m := (r.first + t) % machines
			try := uint64(1)<<24 + uint64(r.first+t)
			a := l.jobs.StartAttempt(j, t, try, machineName(m), 1, now)
			a.Recorded = true
			hold := l.machine(a.Machine, now).Assign(a, now)
			hold.FirstSent, hold.AssignedAt = now, now.Add(-time.Duration((r.first+t)*7919%60_000)*time.Millisecond) // they end one after the other
			tasks[m] = append(tasks[m], agent.ReportedTask{Task: a.TaskName(), Attempt: try, Status: agent.StatusRunning})
		}
	}
	for m := range machines {
		l.applyReport(benchReport(m, 1, tasks[m]), now)
		l.fleet.Machine(machineName(m)).Listed = true
	}
}

func machineName(i int) string { return fmt.Sprintf("vm-%06d", i) }

func benchReport(machine int, tick uint64, tasks []agent.ReportedTask) *agent.Heartbeat {
	return &agent.Heartbeat{Machine: machineName(machine), Addr: "10.1.0.1:9000", Type: "box", Zone: []string{"a", "b"}[machine%2],
		Incarnation: 1, Sequence: tick, FencingToken: 2, Tasks: tasks}
}

func forSizes(b *testing.B, f func(b *testing.B, machines int)) {
	for _, machines := range benchSizes {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { f(b, machines) })
	}
}

// BenchmarkPass places what waits on a full fleet.
func BenchmarkPass(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		l := benchLead(b, machines)
		now := time.Now()
		l.everySecond(now)
		for b.Loop() {
			l.fleet.At(0).Version++
			l.pass(now)
		}
	})
}

// BenchmarkSecond is what time alone brings about, once a second.
func BenchmarkSecond(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		l := benchLead(b, machines)
		now := time.Now()
		for b.Loop() {
			now = now.Add(time.Millisecond)
			l.everySecond(now)
		}
	})
}

// BenchmarkReport takes one report.
func BenchmarkReport(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		l := benchLead(b, machines)
		tick := uint64(1)
		for b.Loop() {
			tick++
			m := int(tick) % machines
			l.applyReport(benchReport(m, tick, l.fleet.At(m).LatestHeartbeat().Tasks), time.Now())
		}
	})
}

// BenchmarkLook is what the loop looks at after reports, at most every loopGap.
func BenchmarkLook(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		l := benchLead(b, machines)
		now := time.Now()
		for b.Loop() {
			l.push(now)
			l.writeRelay(now)
			l.saveEstimates(now)
		}
	})
}

// BenchmarkTakeover reads all records and takes a report of each machine.
func BenchmarkTakeover(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		for b.Loop() {
			benchLead(b, machines)
		}
	})
}

// BenchmarkSizing decides which machines to rent and to return.
func BenchmarkSizing(b *testing.B) {
	forSizes(b, func(b *testing.B, machines int) {
		l := benchLead(b, machines)
		now := time.Now()
		for b.Loop() {
			l.demand(now)
		}
	})
}
