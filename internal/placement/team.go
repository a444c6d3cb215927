package placement

// Team is a team's limit and what its tasks use now.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	Opportunistic    bool    // has no guarantee
	stopped          Amounts // of its tasks that stop for others, and still count
}

func (t *Team) room(n Amounts) bool {
	return t.CPUsUsed+n[CPU] <= t.CPUsMax+tolerance && t.GPUsUsed+n[GPU] <= t.GPUsMax+tolerance
}

// fits tells whether the team may use n more of a task's amounts.
func (t *Team) fits(need Amounts, n int) bool {
	k := float64(n)
	return t.CPUsUsed+k*need[CPU] <= t.CPUsMax+tolerance && t.GPUsUsed+k*need[GPU] <= t.GPUsMax+tolerance
}

// excess returns by how much the team would be over its limit with n more, once
// those that stop have stopped.
func (t *Team) excess(n Amounts) Amounts {
	var out Amounts
	if d := t.CPUsUsed - t.stopped[CPU] + n[CPU] - t.CPUsMax; d > tolerance {
		out[CPU] = d
	}
	if d := t.GPUsUsed - t.stopped[GPU] + n[GPU] - t.GPUsMax; d > tolerance {
		out[GPU] = d
	}
	return out
}

func (t *Team) book(n Amounts, k float64) {
	t.CPUsUsed += k * n[CPU]
	t.GPUsUsed += k * n[GPU]
}
