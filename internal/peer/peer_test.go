package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// cancelDeadline is the time within which tasks of cancelled jobs must be gone in these tests.
const cancelDeadline = 51 * time.Second

// testGroup consists of three controllers, a, b and c, on an in-memory network.
type testGroup struct {
	network   *fake.Network
	nodes     map[string]*fakeNode
	registers map[string]*cancellation.Register
	groups    map[string]*Group
}

// startGroup returns a group whose members have just begun to send heartbeats. It must be called in a
// synctest bubble.
func startGroup(t *testing.T) *testGroup {
	t.Helper()
	t.Cleanup(func() { time.Sleep(time.Minute) }) // requests in flight end: a bubble must be left empty
	names := []string{"a", "b", "c"}
	g := &testGroup{
		network:   fake.NewNetwork(t.Context()),
		nodes:     map[string]*fakeNode{},
		registers: map[string]*cancellation.Register{},
		groups:    map[string]*Group{},
	}
	for _, name := range names {
		var others []Member
		for _, other := range names {
			if other != name {
				others = append(others, Member{Node: other, Addr: other})
			}
		}
		g.nodes[name] = &fakeNode{}
		g.registers[name] = cancellation.New(len(names), cancelDeadline)
		g.groups[name] = New(Config{Dial: g.network.Dial(name), Node: name, Members: others, Register: g.registers[name]}, g.nodes[name])
		go g.network.Serve(t.Context(), name, g.groups[name].Serve)
	}
	synctest.Wait() // until all controllers serve
	for _, group := range g.groups {
		go group.Run(t.Context())
	}
	return g
}

// deliver passes a request to a group, and returns the status of the response.
func deliver(g *Group, method, path string, body []byte) int {
	return g.Serve(context.Background(), &wire.Request{Method: method, Path: path, Body: body}).Status
}

// Guards against a heartbeat that exceeds the size limit of request bodies, which controllers of all
// versions refuse: the register holds as many cancelled jobs as it keeps, and there are far more gone
// attempts than fit.
func TestHeartbeatLargerThanRequestBody(t *testing.T) {
	register := cancellation.New(3, cancelDeadline)
	register.MergeRead(nil, time.Now())
	for i := range 4096 {
		register.Add(fmt.Sprintf("wk-%06d", i))
	}
	var gone []job.AttemptID
	for i := range 5000 {
		gone = append(gone, job.AttemptID{Task: fmt.Sprintf("wk-%06d/%d", i, 10_000+i), Number: 1<<40 + uint64(i)})
	}
	sender := New(Config{Node: "shelf-0", Register: register}, &fakeNode{leader: "shelf-1", term: 1 << 30, redirected: 6000, storeReachable: true, gone: gone})
	heartbeat := sender.newHeartbeat().message
	if len(heartbeat) > wire.MaxBody {
		t.Fatalf("heartbeat of %d bytes, want at most %d", len(heartbeat), wire.MaxBody)
	}
	if len(heartbeat) < wire.MaxBody*9/10 {
		t.Errorf("heartbeat of %d bytes omits attempts that would fit", len(heartbeat))
	}
	node := &fakeNode{leader: "shelf-1", term: 1 << 30, storeReachable: true}
	receiver := New(Config{Node: "shelf-1", Register: cancellation.New(3, cancelDeadline)}, node)
	message := wire.AppendRequest(nil, "POST", heartbeatPath, "10.0.0.2:8081", heartbeat)
	req, _, err := wire.ParseRequest(message)
	if err != nil {
		t.Fatal(err)
	}
	if resp := receiver.Serve(context.Background(), &req); resp.Status != 200 {
		t.Errorf("status %d, want 200", resp.Status)
	}
	if len(node.cancelled) != 4096 || len(node.observedGone) < 100 {
		t.Errorf("%d cancelled jobs and %d gone attempts received, want 4096 and at least 100", len(node.cancelled), len(node.observedGone))
	}
}

// Guards against agents waiting for an unreachable leader: an incoming heartbeat may be a late copy, so
// only the answer to a controller's own heartbeat shows that a member is reachable.
func TestIncomingHeartbeatCountsAsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGroup(t)
		g.nodes["b"].ObserveLeadership("b", 1)
		g.network.SetFaults(fake.NetworkFaults{Partition: func(from, to string) bool { return from == "a" && to == "b" }})
		time.Sleep(10 * time.Second)
		if leader, term := g.nodes["a"].Leadership(); leader != "b" || term != 1 {
			t.Errorf("leader %q of term %d known to a, want b of term 1 as in b's heartbeats", leader, term)
		}
		if a := g.groups["a"]; a.ReachableWithin("b", 5*time.Second) || a.LeadingWithin("b", 5*time.Second) {
			t.Error("b counts as reachable or leading at a, which has received no answer from b")
		}
		if b := g.groups["b"]; !b.ReachableWithin("a", 5*time.Second) || !b.ReachableWithin("c", 5*time.Second) {
			t.Error("members that answer b do not count as reachable at b")
		}
		if c := g.groups["c"]; !c.LeadingWithin("b", 5*time.Second) {
			t.Error("b does not count as leading at c, although it answers c that it leads")
		}
	})
}

// Guards against a controller that has just started and counts its peers as unreachable before they
// have had time to answer. Before it sends heartbeats, none counts as reachable.
func TestMembersUnreachableRightAfterStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := New(Config{Node: "a", Members: []Member{{Node: "b", Addr: "b"}}, Dial: fake.NewNetwork(t.Context()).Dial("a"),
			Register: cancellation.New(2, cancelDeadline)}, &fakeNode{})
		if group.ReachableWithin("b", time.Hour) {
			t.Error("b reachable although no heartbeat was ever sent")
		}
		if group.AllRunGangs() {
			t.Error("all members run gangs although none has answered")
		}
		go group.Run(t.Context())
		time.Sleep(2 * time.Second)
		if !group.ReachableWithin("b", 5*time.Second) {
			t.Error("b unreachable 2 s after the start")
		}
		time.Sleep(4 * time.Second)
		if group.ReachableWithin("b", 5*time.Second) {
			t.Error("b reachable although it has not answered in 6 s")
		}
	})
}

// electedNode is a node that delegates leadership to a candidate, as a controller does.
type electedNode struct {
	*fakeNode
	candidate *leadership.Candidate
}

func (n electedNode) Leadership() (leader string, term uint64) { return n.candidate.Leader() }

func (n electedNode) ObserveLeadership(leader string, term uint64) {
	n.candidate.ObserveTerm(leader, term)
}

// Guards against a late copy of a heartbeat that restores a deposed leader, although its term is
// lower, or that announces the same cancellations again.
func TestLateHeartbeatBringsBackDeposedLeader(t *testing.T) {
	registerOfB := cancellation.New(3, cancelDeadline)
	registerOfB.Add("wk-000001")
	nodeB := &fakeNode{leader: "c", term: 5}
	b := New(Config{Node: "b", Register: registerOfB}, nodeB)
	late := b.newHeartbeat().message
	nodeB.ObserveLeadership("b", 7)

	nodeA := electedNode{&fakeNode{}, &leadership.Candidate{Node: "a"}}
	a := New(Config{Node: "a", Register: cancellation.New(3, cancelDeadline)}, nodeA)
	for _, heartbeat := range [][]byte{b.newHeartbeat().message, late, late} {
		if status := deliver(a, "POST", heartbeatPath, heartbeat); status != 200 {
			t.Fatalf("status %d, want 200", status)
		}
	}
	if leader, term := nodeA.Leadership(); leader != "b" || term != 7 {
		t.Errorf("leader %q of term %d after a late copy, want b of term 7", leader, term)
	}
	if !slices.Equal(nodeA.cancelled, []string{"wk-000001"}) {
		t.Errorf("cancelled jobs announced: %v, want wk-000001 once", nodeA.cancelled)
	}
}

// Guards against a cancellation that is confirmed to a user and then lost: while both other members are
// unreachable, this controller may be the only one that holds it, and it may crash at any moment.
func TestCancellationConfirmedWithoutMajority(t *testing.T) {
	for _, test := range []struct {
		name        string
		unreachable []string
		want        bool
	}{
		{"all reachable", nil, true},
		{"one unreachable", []string{"b"}, true},
		{"both unreachable", []string{"b", "c"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startGroup(t)
				time.Sleep(5 * time.Second)
				g.network.SetFaults(fake.NetworkFaults{Partition: func(_, to string) bool { return slices.Contains(test.unreachable, to) }})
				g.registers["a"].Add("wk-000001")
				asked := time.Now()
				if got := g.groups["a"].ReplicateCancellation(t.Context(), "wk-000001"); got != test.want {
					t.Errorf("replicated: %v, want %v", got, test.want)
				}
				if waited := time.Since(asked); waited > requestTimeout {
					t.Errorf("waited %v, want at most %v", waited, requestTimeout)
				}
				held := g.registers["b"].Contains("wk-000001") || g.registers["c"].Contains("wk-000001")
				if held != test.want {
					t.Errorf("cancellation held by another member: %v, want %v", held, test.want)
				}
			})
		})
	}
}

// Guards against a cancellation that waits for a heartbeat that has already ended and so did not
// contain it, instead of one that is sent afterwards.
func TestCancellationWaitsForHeartbeatThatIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGroup(t)
		for i := range 5 {
			time.Sleep(3 * time.Second)
			id := fmt.Sprintf("wk-%06d", i)
			g.registers["a"].Add(id)
			if !g.groups["a"].ReplicateCancellation(t.Context(), id) {
				t.Errorf("%s not replicated", id)
			}
		}
	})
}

// Guards against a cancellation that is confirmed before heartbeats are sent, when no other member can
// hold it.
func TestCancellationConfirmedBeforeRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		register := cancellation.New(3, cancelDeadline)
		register.Add("wk-000001")
		group := New(Config{Node: "a", Members: []Member{{Node: "b", Addr: "b"}, {Node: "c", Addr: "c"}}, Register: register}, &fakeNode{})
		if group.ReplicateCancellation(t.Context(), "wk-000001") {
			t.Error("replicated, although no heartbeat was sent")
		}
	})
}

// Guards against one heartbeat for each concurrent caller: many cancellations at once would leave no
// connections for other requests. Callers share a heartbeat. One that is already in flight contains
// only what was registered before, so a second may follow it.
func TestHeartbeatForEachWaitingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 50
		g := startGroup(t)
		time.Sleep(100 * time.Millisecond) // the first heartbeats have ended, the next are not due
		g.network.SetFaults(fake.NetworkFaults{RequestDelay: func(_, _ string) time.Duration { return 20 * time.Millisecond }})
		before := g.network.Requests()
		var calls sync.WaitGroup
		for i := range callers {
			calls.Go(func() {
				id := fmt.Sprintf("wk-%06d", i)
				g.registers["a"].Add(id)
				if !g.groups["a"].ReplicateCancellation(t.Context(), id) {
					t.Errorf("%s not replicated", id)
				}
			})
		}
		calls.Wait()
		after := g.network.Requests()
		for _, member := range []string{"b", "c"} {
			if sent := after[member] - before[member]; sent < 1 || sent > 2 {
				t.Errorf("%d heartbeats to %s for %d callers, want 1 or 2", sent, member, callers)
			}
		}
	})
}

// Guards against outdated reports of members that no longer answer. Only the report that a member's
// version runs gangs remains valid.
func TestStatementsOfMembersOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const recent = 5 * time.Second
		g := startGroup(t)
		a := g.groups["a"]
		g.nodes["b"].setRedirected(3)
		g.nodes["c"].setRedirected(8)
		time.Sleep(3 * time.Second)
		if got := a.MostRedirected(recent); got != 8 {
			t.Errorf("MostRedirected returned %d, want 8", got)
		}
		if !a.AllRunGangs() || !a.StoreReachableByNone(recent) {
			t.Error("want all members to run gangs, and none to be served by the store")
		}
		g.network.SetFaults(fake.NetworkFaults{Partition: func(from, to string) bool { return from == "a" && to == "c" }})
		time.Sleep(10 * time.Second)
		if got := a.MostRedirected(recent); got != 3 {
			t.Errorf("MostRedirected returned %d, want 3, as reported by the member that answers", got)
		}
		g.network.SetFaults(fake.NetworkFaults{Partition: func(from, _ string) bool { return from == "a" }})
		time.Sleep(10 * time.Second)
		if got := a.MostRedirected(recent); got != 0 || a.StoreReachableByNone(recent) {
			t.Errorf("MostRedirected returned %d and StoreReachableByNone %v, want 0 and false without answers", got, a.StoreReachableByNone(recent))
		}
		if !a.AllRunGangs() {
			t.Error("AllRunGangs returned false for members that no longer answer, want true")
		}
	})
}

// Guards against notifications of changed jobs that reach controllers other than the leader. If this
// controller leads, the notification does not use the network.
func TestChangeSentToWrongMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, test := range []struct {
			leader string
			term   uint64
		}{{"b", 1}, {"a", 2}, {"", 3}} {
			g := startGroup(t)
			for _, node := range g.nodes {
				node.ObserveLeadership(test.leader, test.term)
			}
			g.groups["a"].NotifyLeader(t.Context(), "wk-000001")
			for name, node := range g.nodes {
				if got, want := len(node.changed) == 1, name == test.leader; got != want {
					t.Errorf("leader %q: notification received by %s: %v, want %v", test.leader, name, got, want)
				}
			}
		}
	})
}

// Guards against malformed requests that are accepted, or that change the state of the controller.
func TestMalformedRequestTaken(t *testing.T) {
	node := &fakeNode{}
	group := New(Config{Node: "a", Register: cancellation.New(3, cancelDeadline)}, node)
	withoutSender := marshal(&Heartbeat{Term: 9, Leader: "b", Cancelled: []string{"wk-000001"}})
	broken := []byte{0xff}
	for _, test := range []struct {
		name, method, path string
		body               []byte
		want               int
	}{
		{"method", "GET", heartbeatPath, nil, 405},
		{"path", "POST", "/other", nil, 404},
		{"heartbeat", "POST", heartbeatPath, broken, 400},
		{"heartbeat without sender", "POST", heartbeatPath, withoutSender, 400},
		{"change", "POST", changedPath, broken, 400},
	} {
		if got := deliver(group, test.method, test.path, test.body); got != test.want {
			t.Errorf("%s: status %d, want %d", test.name, got, test.want)
		}
	}
	if node.term != 0 || len(node.cancelled)+len(node.changed) > 0 {
		t.Errorf("term %d, cancelled jobs %v and changed jobs %v observed, want none", node.term, node.cancelled, node.changed)
	}
}

// Guards against registers of cancelled jobs that fill up until they overflow: a job that a controller has
// dropped after its retention period came back from another, which had received it later, without end.
func TestCancelledJobsDoNotCirculate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGroup(t)
		isolated := func(from, to string) bool { return (from == "c") != (to == "c") }
		g.network.SetFaults(fake.NetworkFaults{Partition: isolated})
		g.registers["a"].Add("wk-000001")
		time.Sleep(30 * time.Second)
		g.network.SetFaults(fake.NetworkFaults{}) // c receives the job 30 s after the others
		time.Sleep(cancelDeadline - 30*time.Second)
		for name, register := range g.registers {
			if !register.Contains("wk-000001") {
				t.Errorf("%s has dropped the job before the deadline of its tasks", name)
			}
		}
		time.Sleep(20 * time.Second)
		for name, register := range g.registers {
			if register.Contains("wk-000001") {
				t.Errorf("%s holds the job 20s after the deadline of its tasks", name)
			}
		}
	})
}

// Guards against a register that drops a job before the deadline of its tasks: the cancellation is first
// confirmed long after it was recorded, and the deadline counts from the confirmation.
func TestLateConfirmationRenewsRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startGroup(t)
		time.Sleep(time.Second)
		g.registers["a"].Add("wk-000001")
		time.Sleep(40 * time.Second)
		if !g.groups["a"].ReplicateCancellation(t.Context(), "wk-000001") {
			t.Fatal("cancellation not held by a majority")
		}
		time.Sleep(cancelDeadline)
		holders := 0
		for _, register := range g.registers {
			if register.Contains("wk-000001") {
				holders++
			}
		}
		if holders < 2 {
			t.Errorf("%d of 3 controllers hold the job until the deadline of its tasks, want a majority", holders)
		}
	})
}
