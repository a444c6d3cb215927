package placement

// Teams, their limits and their usage.

// Team is the limit and the usage of a team, in CPUs and GPUs. Memory is not limited.
type Team struct {
	CPUsMax, GPUsMax float64
	CPUsUsed         float64
	GPUsUsed         float64
	Opportunistic    bool // without a guarantee: its tasks use what other teams leave
	GuaranteedCPUs   float64
	GuaranteedGPUs   float64
	FirstBeyond      uint64  // jobs that arrived then or later are beyond the guarantee; math.MaxUint64: none are
	stopping         Amounts // resources of its victims in this pass, counted as used until they are gone
}

// keepsGuarantee reports whether the team uses its whole guarantee without its victims in this pass and without
// the given amounts.
func (t *Team) keepsGuarantee(without Amounts) bool {
	return t.CPUsUsed-t.stopping[CPU]-without[CPU] >= t.GuaranteedCPUs-tolerance &&
		t.GPUsUsed-t.stopping[GPU]-without[GPU] >= t.GuaranteedGPUs-tolerance
}

// limitAllows reports whether a number of further tasks, each with the given need, is within the team's
// limit.
func (t *Team) limitAllows(need Amounts, tasks int) bool {
	factor := float64(tasks)
	return t.CPUsUsed+factor*need[CPU] <= t.CPUsMax+tolerance &&
		t.GPUsUsed+factor*need[GPU] <= t.GPUsMax+tolerance
}

// excess returns the amounts by which one more task would exceed the team's limit once the team's
// victims in this pass are gone; zero: the task is within the limit.
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

// book adds one task to the team's usage.
func (t *Team) book(need Amounts) {
	t.CPUsUsed += need[CPU]
	t.GPUsUsed += need[GPU]
}
