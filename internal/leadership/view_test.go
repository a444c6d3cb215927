package leadership

import (
	"errors"
	"testing"
	"time"
)

// leadingView is what node "a" knows while it leads term 3.
func leadingView() (*view, *Term) {
	v, term := &view{}, &Term{issued: issuedTerm{number: 3}}
	v.observe("a", 3)
	v.beginTerm(term, func() {})
	return v, term
}

func wantLeader(t *testing.T, v *view, leader string, term uint64) {
	t.Helper()
	if gotLeader, gotTerm := v.knownLeader("a"); gotLeader != leader || gotTerm != term {
		t.Errorf("the leader is %q of term %d, want %q of term %d", gotLeader, gotTerm, leader, term)
	}
}

// A node names itself as the leader only while it leads: a peer may tell it of the process
// that it was before a restart.
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
		t.Errorf("confirmed at %v, want %v", v.confirmedAt, read)
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
			t.Errorf("%s: deposed %v, want %v", test.name, got, test.deposes)
		}
		wantLeader(t, v, test.wantLeader, test.wantTerm)
	}
	if v := (&view{}); v.observeTerm("a", "b", 4) {
		t.Error("a node that does not lead was deposed")
	}
}

func TestTransferMarksOneLeadership(t *testing.T) {
	v := &view{}
	if v.markTransferring() || v.transferring() {
		t.Error("a node that does not lead transfers its leadership")
	}
	v.beginTerm(&Term{}, func() {})
	if v.transferring() || !v.markTransferring() || !v.transferring() {
		t.Error("a leader does not transfer its leadership")
	}
	v.endTerm("a")
	v.beginTerm(&Term{}, func() {})
	if v.transferring() {
		t.Error("the next leadership is transferred too")
	}
}

func TestBeginTokenCheck(t *testing.T) {
	v, term := leadingView()
	for _, token := range []uint64{0, 2, 3} {
		if v.beginTokenCheck(token) != nil {
			t.Errorf("token %d calls term 3 in question", token)
		}
	}
	if v.beginTokenCheck(4) != term {
		t.Error("token 4 does not call term 3 in question")
	}
	if v.beginTokenCheck(5) != nil {
		t.Error("two checks at a time")
	}
	v.finishTokenCheck(term, 4, electionState{}, nil)
	if v.beginTokenCheck(5) != term {
		t.Error("no check after one that has ended")
	}
	if (&view{}).beginTokenCheck(4) != nil {
		t.Error("a node that does not lead checks a token")
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
		t.Errorf("the term has ended meanwhile: verdict %d, want %d", got, tokenOutdated)
	}
}
