package leader

import (
	"log/slog"
	"strconv"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// scaler decides which machines to return and to rent, and applies the cloud's responses. Its state
// belongs to the event loop; the requests to the cloud run on a goroutine beside it (scaler_cloud.go).
type scaler struct {
	*environment
	topology *topology
	jobs     *jobTable
	machines *machineTable
	recovery *recovery
	commands *commandSource
	sizer    *sizer
	health   *machineHealth

	refusedUntil      map[pool]time.Time // end of the backoff of pools that had no capacity
	unansweredRentals map[string]string  // reason of each rental without a response yet, by its name
	sequence          int                // number of the last rental of this leader
}

// pool identifies a kind of machine that the cloud rents out.
type pool struct {
	machineType, zone int // dense indices
	spot              bool
}

const (
	// refusalBackoff is the time without requests to a pool after it had no capacity.
	refusalBackoff = 20 * time.Second

	// minIdleReturnAge is the least age at which an idle machine is returned. It is a little below the
	// 60 s for which every machine is billed at least.
	minIdleReturnAge = 55 * time.Second
)

func newScaler(env *environment, topology *topology, jobs *jobTable, machines *machineTable, recovery *recovery,
	commands *commandSource, sizer *sizer, health *machineHealth) *scaler {
	return &scaler{environment: env, topology: topology, jobs: jobs, machines: machines, recovery: recovery, commands: commands,
		sizer: sizer, health: health, refusedUntil: map[pool]time.Time{}, unansweredRentals: map[string]string{}}
}

// scalingPlan holds the names of the machines to return, and the rentals to request.
type scalingPlan struct {
	returns     []string
	rentals     []cloud.Rental
	unconfirmed bool // another controller may lead, so the returns may rest on old knowledge
}

// plan decides which machines to return and to rent. As long as the records are not loaded, the lease is
// not valid, or machines without a heartbeat may not be replaced yet, it plans only the return of machines
// with a cancelled task that cannot be stopped.
func (s *scaler) plan(now time.Time) scalingPlan {
	if !s.recovery.loaded.Load() || !s.term.Valid() || !s.recovery.mayReplaceMissing(now) {
		stuck := func(reason agent.RetireReason) bool { return reason == agent.RetireStuckCancelled }
		return scalingPlan{returns: s.health.namesToReturn(stuck), unconfirmed: !s.term.Valid()}
	}
	s.topology.updatePrices(s.Node.MachineTypes())
	candidates, machines := s.snapshotMachines(now)
	pools := s.pools(now)
	demand := s.sizer.demand(now)
	decision := autoscaler.Plan(demand.tasks, machines, pools, s.Operator.IdleReturn)
	s.logCluster(now, decision)
	s.logCoverage(demand.tasks, decision.Coverage)
	for _, position := range decision.ScaleIn {
		retire(candidates[position], agent.RetireIdle)
	}
	plan := scalingPlan{returns: s.health.namesToReturn(func(reason agent.RetireReason) bool { return reason != agent.NotRetired })}
	if len(s.unansweredRentals) == 0 { // machines of unanswered rentals are not in the snapshot yet
		plan.rentals = s.rentals(decision, pools, demand.reason)
	}
	return plan
}

// snapshotMachines returns the machines of known type and zone that are not retired, and their
// snapshots for the autoscaler in the same order.
func (s *scaler) snapshotMachines(now time.Time) ([]*agent.Machine, []autoscaler.Machine) {
	var candidates []*agent.Machine
	var snapshots []autoscaler.Machine
	s.machines.registry.Each(func(machine *agent.Machine) {
		if machine.Type == unknownIndex || machine.Zone == unknownIndex || machine.RetireReason != agent.NotRetired {
			return
		}
		snapshot, _ := s.machines.snapshot(machine, now)
		expected := !machine.Registered && !machine.Failed && !s.health.bootOverdue(machine, now)
		idle := min(now.Sub(machine.IdleSince), now.Sub(machine.Created)-minIdleReturnAge+s.Operator.IdleReturn)
		candidates = append(candidates, machine)
		snapshots = append(snapshots, autoscaler.Machine{Index: machine.Index, Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot, Free: snapshot.Free,
			ListedTasks: snapshot.ListedTasks, Usable: snapshot.AcceptsTasks || expected, Empty: s.isEmpty(machine), Idle: idle})
	})
	return candidates, snapshots
}

// isEmpty reports whether a machine can be returned without loss: it is registered, holds no task, and
// the results of all tasks that exited on it are recorded or not needed.
func (s *scaler) isEmpty(machine *agent.Machine) bool {
	return machine.Registered && len(machine.Assignments) == 0 && s.commands.resultsSettled(machine)
}

// pools returns all pools of the catalog, with current prices. Pools in their backoff are blocked.
func (s *scaler) pools(now time.Time) (pools []autoscaler.Pool) {
	for typeIndex := range s.topology.types {
		machineType := &s.topology.types[typeIndex]
		for _, zoneName := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				price := machineType.Hourly
				if spot {
					price = machineType.SpotPrice
				}
				if spot && price <= 0 {
					continue
				}
				key := pool{typeIndex, s.topology.zoneIndex[zoneName], spot}
				pools = append(pools, autoscaler.Pool{Type: key.machineType, Zone: key.zone, Spot: spot, Price: price,
					Blocked: now.Before(s.refusedUntil[key]), Capacity: s.topology.capacity(typeIndex)})
			}
		}
	}
	return pools
}

// rentals returns the rentals to request now, at most as many as the cloud's request rate allows at
// once. The rest of the decision is dropped: a later plan decides again, for the demand of that time.
func (s *scaler) rentals(decision autoscaler.Decision, pools []autoscaler.Pool, reason string) (rentals []cloud.Rental) {
	for _, scaleOut := range decision.ScaleOut[:min(len(decision.ScaleOut), s.Cloud.Ready())] {
		chosen := pools[scaleOut.Pool]
		rental := cloud.Rental{Name: s.nextRentalName(), Type: s.topology.types[chosen.Type].Name,
			Zone: s.topology.zones[chosen.Zone], Spot: chosen.Spot, Count: min(scaleOut.Count, cloud.MaxRent)}
		s.unansweredRentals[rental.Name] = reason
		rentals = append(rentals, rental)
	}
	return rentals
}

// nextRentalName returns a rental name that no other rental has, whichever leader requests it.
func (s *scaler) nextRentalName() string {
	s.sequence++
	return "r-" + strconv.FormatUint(s.term.Number(), 10) + "-" + strconv.Itoa(s.sequence)
}

// machinesReturned is the event that the cloud has confirmed a return: the machines are gone, with all
// tasks on them.
type machinesReturned struct{ names []string }

func (e machinesReturned) apply(l *Leader) {
	now := time.Now()
	for _, name := range e.names {
		machine := l.machines.registry.Machine(name)
		for _, outcome := range l.machines.registry.Remove(name, now) {
			l.attempts.attemptEnded(machine, outcome, now)
		}
		delete(l.machines.states, machine)
		l.dispatcher.dropClient(name)
	}
	l.scheduler.trigger.request()
	slog.Info("machines returned", "machines", e.names)
}

// machinesRented is the event that the cloud has answered a rental. Fewer names than the rental's Count
// mean that the pool has no more capacity.
type machinesRented struct {
	rental cloud.Rental
	names  []string
}

func (e machinesRented) apply(l *Leader) { l.scaler.rented(e.rental, e.names, time.Now()) }

func (s *scaler) rented(rental cloud.Rental, names []string, now time.Time) {
	reason := s.unansweredRentals[rental.Name]
	delete(s.unansweredRentals, rental.Name)
	rentedPool := pool{s.topology.typeIndex[rental.Type], s.topology.zoneIndex[rental.Zone], rental.Spot}
	if len(names) < rental.Count {
		s.refusedUntil[rentedPool] = now.Add(refusalBackoff)
	}
	slog.Info("machines rented", "request", rental.Name, "type", rental.Type, "zone", rental.Zone, "spot", rental.Spot,
		"asked", rental.Count, "machines", names, "why", reason)
	for _, name := range names {
		if s.machines.registry.Add(name, now) == nil {
			continue
		}
		machine := s.machines.findOrAdd(name, now)
		// The machine counts as booting until the cloud's list or a heartbeat shows otherwise. Guards
		// against a scale-out that stalls: until reconciliation times out, a new leader rents nothing
		// while an expected heartbeat is missing, and only booting or failed machines are not expected
		// to send one (recovery.reportedShare).
		machine.Listed, machine.Booting = true, !machine.Registered
		if machine.Type == unknownIndex {
			machine.Type, machine.Zone, machine.Spot = rentedPool.machineType, rentedPool.zone, rentedPool.spot
		}
	}
}

// machinesListed is the event that the cloud has sent its list of machines.
type machinesListed struct {
	machines    []cloud.Machine
	requestedAt time.Time // when the request was sent
}

func (e machinesListed) apply(l *Leader) {
	now := time.Now()
	l.recovery.cloudListed = true
	listed := make(map[string]bool, len(e.machines))
	for i := range e.machines {
		listed[e.machines[i].Name] = true
		l.scaler.applyListed(&e.machines[i], now)
	}
	l.scaler.retireUnlisted(listed, e.requestedAt)
}

func (s *scaler) applyListed(entry *cloud.Machine, now time.Time) {
	created := now.Add(-time.Duration(entry.AgeS * float64(time.Second)))
	if s.machines.registry.Add(entry.Name, created) == nil {
		return
	}
	machine := s.machines.findOrAdd(entry.Name, now)
	if !machine.Registered {
		machine.Type, machine.Zone = s.topology.resolve(entry.Type, entry.Zone)
		machine.Spot, machine.Addr = entry.Spot, entry.Addr
	}
	machine.Failed = entry.Status == cloud.MachineFailed
	machine.Listed = machine.Listed || entry.Status == cloud.MachineRunning
	machine.Booting = entry.Status == cloud.MachineStarting && !machine.Registered
}

// listLagMargin is the margin added to twice the list lag of the settings.
const listLagMargin = 2 * time.Second

// retireUnlisted retires machines that are missing from the cloud's list. Because the list lags, it
// skips machines that were created, or last sent a heartbeat, at most twice the list lag plus
// listLagMargin before the request. A missing entry does not prove that a machine is gone; the cloud's
// response to its return does.
func (s *scaler) retireUnlisted(listed map[string]bool, requestedAt time.Time) {
	lag := 2*s.Settings.Cloud.ListLag + listLagMargin
	s.machines.registry.Each(func(machine *agent.Machine) {
		lastSeen := machine.Created
		if machine.Registered {
			lastSeen = machine.LastHeartbeat
		}
		unseen := requestedAt.Sub(lastSeen) > lag && requestedAt.Sub(machine.Created) > lag
		if !listed[machine.Name] && unseen && machine.RetireReason == agent.NotRetired {
			retire(machine, agent.RetireUnlisted)
		}
	})
}

// clusterUsage holds the numbers of machines of known type, and their CPUs. The fields empty, cpus and
// freeCPUs count registered machines only.
type clusterUsage struct {
	machines, spot, registered, empty int
	cpus, freeCPUs                    float64
}

// logCluster logs the usage of the machines and the backlog of records, if debug messages are enabled.
func (s *scaler) logCluster(now time.Time, decision autoscaler.Decision) {
	if !slog.Default().Enabled(s.loop.ctx, slog.LevelDebug) {
		return
	}
	usage := s.clusterUsage(now)
	waiting := 0
	s.jobs.store.Each(func(j *jobstore.Job) { waiting += j.WaitingTasks() })
	backlog := s.jobs.store.Backlog()
	slog.Debug("records to write", "starts", backlog.Starts, "chunks", backlog.StartChunks, "ends", backlog.Ends)
	slog.Debug("cluster", "machines", usage.machines, "spot", usage.spot, "up", usage.registered, "empty", usage.empty, "cpus", usage.cpus,
		"free", usage.freeCPUs, "waiting", waiting, "rent", decision.ScaleOut, "return", len(decision.ScaleIn))
}

// logCoverage logs where the waiting tasks of each job found room, if debug messages are enabled. A job that
// waits although its tasks found room on existing machines was given room that placement does not use.
func (s *scaler) logCoverage(demand []autoscaler.Demand, coverage []autoscaler.Coverage) {
	if !slog.Default().Enabled(s.loop.ctx, slog.LevelDebug) {
		return
	}
	for i := range demand {
		if demand[i].JobID == "" {
			continue // a reserve
		}
		slog.Debug("demand packed", "job", demand[i].JobID, "tasks", demand[i].Tasks,
			"existing", coverage[i].Existing, "planned", coverage[i].Planned, "unmet", coverage[i].Unmet)
	}
}

func (s *scaler) clusterUsage(now time.Time) (usage clusterUsage) {
	s.machines.registry.Each(func(machine *agent.Machine) {
		if machine.Type == unknownIndex {
			return
		}
		usage.machines++
		if machine.Spot {
			usage.spot++
		}
		if !machine.Registered {
			return
		}
		snapshot, assignments := s.machines.snapshot(machine, now)
		usage.registered++
		usage.cpus += s.topology.types[machine.Type].CPUs
		usage.freeCPUs += snapshot.Free[placement.CPU]
		if len(assignments) == 0 {
			usage.empty++
		}
	})
	return usage
}
