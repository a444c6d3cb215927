// Package placement decides on which machines waiting tasks run. It is deterministic and does no I/O:
// from a snapshot of machines, jobs and teams and the current time it computes a plan, which the
// controller applies. docs/placement.md states the design, the numbered exceptions to it, and their
// figures.
package placement

import "time"

// Place makes one scheduling pass over all waiting jobs. Its parts, each in a file of its own:
//
//	order.go         order in which jobs are placed; overdue jobs start one task first
//	feasibility.go   machines on which a task may be placed
//	ranking.go       order of the feasible machines: by image state, then by load index
//	tasks.go         jobs whose tasks start independently
//	gang.go          gangs, whose tasks are placed together or not at all
//	preemption.go    tasks that are stopped for other jobs
//	reclaim.go       tasks beyond a team's guarantee that are stopped for another team's
//	reservation.go   machines that are kept free for gangs that have to wait
//
// Place modifies its arguments: the machines, but not the elements of their Tasks; the jobs, including the
// elements of their TasksInZone and Image; and the teams. Nothing else may use the snapshot during the call.
func Place(now time.Time, machines []Machine, jobs []Job, teams []Team) Plan {
	p := newPass(now, machines, jobs, teams)
	sequence := placementOrder(jobs)
	p.startOverdueJobs(sequence)
	for _, job := range sequence {
		if job.Gang {
			p.placeGang(job)
		} else {
			p.placeIndependentTasks(job)
		}
	}
	return p.plan
}
