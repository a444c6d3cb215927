// Package placement decides which machine a waiting task goes to. It is pure
// and deterministic: it is given machines, jobs and the time, and returns
// decisions.
package placement

import "time"

// Place makes one pass: waiting tasks by priority, then arrival, each to the
// fitting machine with the lowest index, within their teams' limits. It
// changes machines, jobs and teams as it goes.
func Place(now time.Time, machines []Machine, jobs []Job, teams []Team) Plan {
	p := newPass(now, machines, teams, len(jobs))
	sorted := placementOrder(jobs)
	p.startOverdueJobs(jobs, sorted)
	for _, i := range sorted {
		j := &jobs[i]
		if j.Gang {
			p.placeGang(i, j)
			continue
		}
		left := j.Waiting
		if j.Urgent && j.FetchTooSlow {
			left -= p.placeTasks(i, j, left, withImage)
			made, _ := p.preempt(i, j, left, withImage)
			left -= made
		}
		left -= p.placeTasks(i, j, left, anywhere)
		if left == 0 {
			continue
		}
		if p.teams[j.Team].room(j.Need) {
			p.plan.Unplaced[i] = left
			if !j.Urgent {
				p.starvedJobs = append(p.starvedJobs, j)
			}
		}
		if j.Urgent || j.MayDisplace {
			p.preempt(i, j, left, anywhere)
		}
	}
	return p.plan
}
