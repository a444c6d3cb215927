package placement

// Teams and their limits.

// Team is a team's limit and what its tasks use, in CPUs and GPUs. Memory has no limit.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	Opportunistic    bool    // has no guarantee: its tasks run on what others leave
	stopping         Amounts // of its tasks that stop for others and count as used until they are gone
}

// limitAllows reports whether so many more tasks are within the team's limit.
func (t *Team) limitAllows(need Amounts, tasks int) bool {
	factor := float64(tasks)
	return t.CPUsUsed+factor*need[CPU] <= t.CPUsMax+tolerance &&
		t.GPUsUsed+factor*need[GPU] <= t.GPUsMax+tolerance
}

// excess returns by how much one more task would take the team over its limit, once those of its tasks
// that stop are gone.
func (t *Team) excess(need Amounts) Amounts {
	var excess Amounts
	if cpus := t.CPUsUsed - t.stopping[CPU] + need[CPU] - t.CPUsMax; cpus > tolerance {
		excess[CPU] = cpus
	}
	if gpus := t.GPUsUsed - t.stopping[GPU] + need[GPU] - t.GPUsMax; gpus > tolerance {
		excess[GPU] = gpus
	}
	return excess
}

// book counts one more task as used.
func (t *Team) book(need Amounts) {
	t.CPUsUsed += need[CPU]
	t.GPUsUsed += need[GPU]
}
