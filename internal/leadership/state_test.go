package leadership

import (
	"testing"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// heldBy returns the state after the node's election: both keys have the revision of the claim's
// transaction.
func heldBy(node string, term, lease, revision uint64) electionState {
	return electionState{
		holder:         holderRecord{Node: node, Term: term, Lease: lease},
		holderRevision: revision,
		latest:         issuedTerm{number: term, revision: revision},
		storeRevision:  revision,
	}
}

func TestDecodeElectionState(t *testing.T) {
	holder := kvstore.Item{Key: holderKey, Value: wire.Marshal(holderRecord{"a", 3, 8}), Revision: 40}
	term := kvstore.Item{Key: termKey, Value: wire.Marshal(termRecord{3}), Revision: 41}
	unknown := kvstore.Item{Key: keyPrefix + "later", Value: wire.Marshal("anything"), Revision: 42}
	got, err := decodeElectionState(kvstore.Page{Items: []kvstore.Item{holder, unknown, term}, Revision: 50})
	want := electionState{
		holder:         holderRecord{Node: "a", Term: 3, Lease: 8},
		holderRevision: 40,
		latest:         issuedTerm{number: 3, revision: 41},
		storeRevision:  50,
	}
	if err != nil || got != want {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	holder.Value = wire.Marshal("not a record")
	if got, err := decodeElectionState(kvstore.Page{Items: []kvstore.Item{holder}}); err == nil {
		t.Errorf("an invalid value of holderKey was decoded as %+v, want an error", got)
	}
}

func TestHeldByOther(t *testing.T) {
	for _, test := range []struct {
		name  string
		state electionState
		want  bool
	}{
		{"before the first election", electionState{}, false},
		{"after the leader's lease has expired", electionState{latest: issuedTerm{number: 3, revision: 9}}, false},
		{"by an earlier process of this node", heldBy("a", 3, 8, 9), false},
		{"by another node", heldBy("b", 3, 8, 9), true},
	} {
		if got := test.state.heldByOther("a"); got != test.want {
			t.Errorf("%s: heldByOther is %v, want %v", test.name, got, test.want)
		}
	}
}

// A claim takes the next term on condition that neither key has changed. After a claim without a
// response, a node must not adopt the term of another claim: the lease, the term and the common
// revision of both keys identify its own.
func TestClaim(t *testing.T) {
	before := heldBy("a", 3, 8, 40)
	before.latest.revision = 41
	sent := before.newClaim("a", 9)
	if sent.number != 4 {
		t.Errorf("the claim is of term %d, want 4", sent.number)
	}
	wantCompares := [2]kvstore.Compare{{Key: holderKey, Revision: 40}, {Key: termKey, Revision: 41}}
	if len(sent.compares) != 2 || [2]kvstore.Compare(sent.compares) != wantCompares {
		t.Errorf("compares %+v, want %+v", sent.compares, wantCompares)
	}
	for _, mutation := range sent.mutations {
		if leased := mutation.Lease == 9; leased != (mutation.Put == holderKey) {
			t.Errorf("%s is attached to lease %d, want only holderKey on lease 9", mutation.Put, mutation.Lease)
		}
	}
	torn := heldBy("a", 4, 9, 50)
	torn.holderRevision = 49
	for _, test := range []struct {
		name  string
		state electionState
		want  bool
	}{
		{"applied", heldBy("a", 4, 9, 50), true},
		{"not applied", before, false},
		{"this node's claim on another lease", heldBy("a", 4, 10, 50), false},
		{"another node's claim", heldBy("b", 4, 11, 50), false},
		{"advanced since", heldBy("a", 5, 9, 51), false},
		{"keys written by two transactions", torn, false},
	} {
		if got := test.state.writtenBy(sent); got != test.want {
			t.Errorf("%s: writtenBy is %v, want %v", test.name, got, test.want)
		}
	}
}

func TestAdvanceStep(t *testing.T) {
	const lease = 9
	current := issuedTerm{number: 4, revision: 50}
	for _, test := range []struct {
		name  string
		state electionState
		want  advanceStep
	}{
		{"nothing has changed", heldBy("a", 4, lease, 50), advanceByClaim},
		{"an earlier claim was applied unanswered", heldBy("a", 5, lease, 51), advanceWasApplied},
		{"another node was elected", heldBy("b", 5, 10, 51), advanceDeposed},
		{"a later process of this node was elected", heldBy("a", 5, 10, 51), advanceDeposed},
		{"the lease has expired", electionState{latest: current}, advanceDeposed},
	} {
		if got := test.state.advanceStep(lease, current); got != test.want {
			t.Errorf("%s: step %d, want %d", test.name, got, test.want)
		}
	}
}
