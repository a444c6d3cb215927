// Package placement decides which machine each waiting task goes to. It is pure and deterministic: it is
// given a snapshot of machines, jobs and teams and the time, and returns a plan, which the controller
// applies. docs/placement.md states the design, the numbered exceptions to it, and their figures.
package placement

import "time"

// Place makes one scheduling pass over all waiting jobs. Its phases, each in a file of its own:
//
//	order.go         in which order jobs have their turn; overdue jobs begin first
//	feasibility.go   which machines may take a task at all
//	ranking.go       which of those is best: where the image is, then the lowest load index
//	tasks.go         jobs whose tasks start one by one
//	gang.go          gangs, which start whole or not at all
//	preemption.go    which tasks are stopped to make room
//	reservation.go   which machines are kept free for a gang that has to wait
//
// It writes to what it is given as it goes: to the machines, though not to the Tasks that they refer to,
// to the jobs, their TasksInZone and Image included, and to the teams. The caller hands over a
// snapshot that nobody else uses meanwhile.
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
