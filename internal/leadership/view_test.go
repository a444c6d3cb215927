package leadership

import (
	"errors"
	"testing"
	"time"
)

// leadingView returns the view of node "a" while it leads term 3, and the term.
func leadingView() (*view, *Term) {
	v, term := &view{}, &Term{issued: issuedTerm{number: 3}}
	v.observe("a", 3)
	v.beginTerm(term, func() {})
	return v, term
}

// wantLeader checks the leader and the term that node "a" names.
func wantLeader(t *testing.T, v *view, leader string, term uint64) {
	t.Helper()
	if gotLeader, gotTerm := v.knownLeader("a"); gotLeader != leader || gotTerm != term {
		t.Errorf("the known leader is %q of term %d, want %q of term %d", gotLeader, gotTerm, leader, term)
	}
}

// Guards against a node that names itself as the leader without leading: a peer may still report
// the node's process from before a restart as the leader.
func TestKnownLeaderAfterRestart(t *testing.T) {
	v := &view{}
	v.observeTerm("a", "a", 3)
	wantLeader(t, v, "", 3)
	v.beginTerm(&Term{}, func() {})
	wantLeader(t, v, "a", 3)
	v.endTerm("a")
	wantLeader(t, v, "", 3)
}

func TestObserveStore(t *testing.T) {
	v := &view{}
	v.observe("b", 5)
	v.observe("c", 4)
	wantLeader(t, v, "b", 5)
	v.observe("c", 5)
	wantLeader(t, v, "c", 5)
	read := time.Now()
	v.confirm("b", 6, read)
	wantLeader(t, v, "b", 6)
	if v.confirmedAt != read {
		t.Errorf("confirmedAt is %v, want %v", v.confirmedAt, read)
	}
}

func TestObserveTermOfPeer(t *testing.T) {
	for _, test := range []struct {
		name       string
		leader     string
		term       uint64
		deposes    bool
		wantLeader string
		wantTerm   uint64
	}{
		{"a later term of another node", "b", 4, true, "b", 4},
		{"its own term", "a", 3, false, "a", 3},
		{"another node under the same term", "b", 3, false, "a", 3},
		{"an earlier term", "b", 2, false, "a", 3},
		{"a later term of its own", "a", 4, false, "a", 4},
	} {
		v, _ := leadingView()
		if got := v.observeTerm("a", test.leader, test.term); got != test.deposes {
			t.Errorf("%s: observeTerm is %v, want %v", test.name, got, test.deposes)
		}
		wantLeader(t, v, test.wantLeader, test.wantTerm)
	}
	if v := (&view{}); v.observeTerm("a", "b", 4) {
		t.Error("observeTerm deposed a node that does not lead")
	}
}

func TestTransferMarksOneLeadership(t *testing.T) {
	v := &view{}
	if v.markTransferring() || v.transferring() {
		t.Error("a node that does not lead was marked as transferring")
	}
	v.beginTerm(&Term{}, func() {})
	if v.transferring() || !v.markTransferring() || !v.transferring() {
		t.Error("a leader was not marked as transferring, or was before markTransferring")
	}
	v.endTerm("a")
	v.beginTerm(&Term{}, func() {})
	if v.transferring() {
		t.Error("the next leadership is still marked as transferring")
	}
}

func TestBeginTokenCheck(t *testing.T) {
	v, term := leadingView()
	for _, token := range []uint64{0, 2, 3} {
		if v.beginTokenCheck(token) != nil {
			t.Errorf("token %d begins a check of term 3, want none", token)
		}
	}
	if v.beginTokenCheck(4) != term {
		t.Error("token 4 does not begin a check of term 3")
	}
	if v.beginTokenCheck(5) != nil {
		t.Error("token 5 begins a second check while one is running")
	}
	v.finishTokenCheck(term, 4, electionState{}, nil)
	if v.beginTokenCheck(5) != term {
		t.Error("token 5 does not begin a check after the first one has ended")
	}
	if (&view{}).beginTokenCheck(4) != nil {
		t.Error("a node that does not lead begins a check of a token")
	}
}

func TestFinishTokenCheck(t *testing.T) {
	unreachable := errors.New("unreachable")
	for _, test := range []struct {
		name    string
		state   electionState
		readErr error
		want    tokenVerdict
	}{
		{"the store has issued it", heldBy("b", 7, 1, 1), nil, tokenDeposes},
		{"the store has issued a later one", heldBy("b", 8, 1, 1), nil, tokenDeposes},
		{"the store has not issued it", heldBy("a", 6, 1, 1), nil, tokenNeverIssued},
		{"the store cannot be read", electionState{}, unreachable, tokenDeposes},
	} {
		v, term := leadingView()
		v.beginTokenCheck(7)
		if got := v.finishTokenCheck(term, 7, test.state, test.readErr); got != test.want {
			t.Errorf("%s: verdict %d, want %d", test.name, got, test.want)
		}
	}
	v, term := leadingView()
	v.beginTokenCheck(7)
	v.beginTerm(&Term{issued: issuedTerm{number: 8}}, func() {})
	if got := v.finishTokenCheck(term, 7, electionState{}, unreachable); got != tokenOutdated {
		t.Errorf("the term has ended during the check: verdict %d, want %d", got, tokenOutdated)
	}
}
