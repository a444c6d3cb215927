package leader

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

const storeAddr = "10.2.0.1:2379"

// A leader whose term was succeeded learns it from the compare on the term's key, ends with
// leadership.ErrDeposed and has written nothing since.
func TestDeposedByTheCompareOnTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // let what was under way end
		}()
		network, store := fake.NewNetwork(ctx), fake.NewStore()
		go network.Serve(ctx, storeAddr, store.Handle)
		client := kvstore.New(network.Dial("10.0.0.1:8080"), storeAddr, 200, 60)
		candidate := &leadership.Candidate{Node: "node-0", LeaseTTL: 4 * time.Second, Store: client}
		ended := make(chan error, 1)
		go candidate.Run(ctx, func(ctx context.Context, term *leadership.Term) {
			ended <- New(ctx, writerTestConfig(client, network), term).Run()
			cancel()
		})
		time.Sleep(2 * time.Second)
		beginNextTerm(t, client)
		if err := <-ended; !errors.Is(err, leadership.ErrDeposed) {
			t.Errorf("ended by %v", err)
		}
		if keys := store.Keys(jobstore.EndKey("")); len(keys) != 0 {
			t.Errorf("written after the next term began: %v", keys)
		}
	})
}

// beginNextTerm writes what an election elsewhere leaves, and a cancelled job, whose end the old
// leader will want to record.
func beginNextTerm(t *testing.T, client *kvstore.Client) {
	t.Helper()
	record := jobstore.Record{Spec: arrayRecord("wk-000001", 1).Spec, ChunkSize: 100, CancelledMS: time.Now().UnixMilli()}
	mutations := []kvstore.Mutation{
		{Put: "lead/term", Value: wire.Marshal(map[string]uint64{"term": 7})},
		{Put: jobstore.JobKey("wk-000001"), Value: wire.Marshal(record)},
	}
	if _, err := client.Txn(t.Context(), nil, mutations, kvstore.PriorityUser); err != nil {
		t.Fatal(err)
	}
}

func writerTestConfig(store *kvstore.Client, network *fake.Network) Config {
	settings := &config.Settings{Zones: []string{"a"}, Teams: []config.Team{{Name: "crew", MaxCPUs: 100}},
		Workers:   config.Workers{HeartbeatInterval: 5 * time.Second, Lease: 26 * time.Second, CancelDeadline: 51 * time.Second},
		Store:     config.StoreLimits{RPS: 200, WriteRPS: 60, ValueBytes: 8 << 10, TxnOps: 8},
		Cloud:     config.CloudLimits{RPS: 5, ListLag: 2 * time.Second},
		Resources: config.Resources{MemBytes: 1 << 27, MaxSockets: 1000}}
	dial := network.Dial("10.0.0.1:8080")
	return Config{Settings: settings, Operator: config.DefaultOperator(), Store: store, Dial: dial,
		Cloud: cloud.New(dial, "10.2.0.2:8443", settings.Cloud.RPS), Node: fakeNode{types: []cloud.Type{{Name: "box", CPUs: 4, Zones: []string{"a"}}}}}
}

// The term is advanced where only that can show what a start has come to, and where an agent keeps
// reporting tasks that it may not forget.
func TestTermIsAdvancedForUnansweredStarts(t *testing.T) {
	l := newTestLeader(config.Settings{})
	j := l.admit(t, arrayRecord("wk-000001", 2))
	now := time.Now()
	machine := l.machines.findOrAdd("vm-1", now)
	number := job.AttemptNumber(l.term.Number(), 1)
	assignment := machine.Assign(l.jobs.store.StartAttempt(j, 0, number, machine.Name, 1, now), now)
	assignment.Stopping = true
	for missed := range lostStartHeartbeats + 1 {
		assignment.MissedHeartbeats = missed
		if got := l.writer.machineNeedsNewTerm(machine); got != (missed == lostStartHeartbeats) {
			t.Errorf("not shown by %d heartbeats: %v", missed, got)
		}
	}
	assignment.Stopping = false
	if l.writer.machineNeedsNewTerm(machine) {
		t.Error("advanced for a start that is not to be stopped")
	}
	later := l.startedAt.Add(advanceInterval)
	if l.writer.needsNewTerm(later) {
		t.Error("advanced without need")
	}
	assignment.Stopping = true
	if l.writer.needsNewTerm(later) || !l.writer.needsNewTerm(later.Add(advanceCheckInterval)) {
		t.Error("checked more often, or more seldom, than once a second")
	}
}
