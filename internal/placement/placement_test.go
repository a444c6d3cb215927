package placement

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/golden"
)

// Each line of a trace's input is a word followed by fields such as cpu=4:
//
//	machine zone= cpu= ram= load= [spot] [task=CPU:PRIORITY:AGE[:TEAM]] [stopping=the same] [lasting=CPU]...
//	A task is expected to run for a minute, a lasting one for five more.
//	team max= [used=] [guest]
//	job team= prio= at= cpu= ram= tasks= [zone=] [spot] [onezone] [apart] [gang] [urgent] [displace] [costly] [beyond] [ratio=] [tocome] [warm=M [coming=M]]
//	load SECONDS TASKS   the index of one machine with so many tasks for so long
//	place
func TestTraces(t *testing.T) { golden.Run(t, replay) }

const zones = 3

func replay(t *testing.T, trace []byte) []byte {
	now := time.Unix(1000, 0)
	var machines []Machine
	var teams []Team
	var jobs []Job
	var index Index
	clock := now
	return golden.Replay(trace, func(out *bytes.Buffer, line string, word []string) {
		number := func(name string, missing float64) float64 {
			for _, w := range word[1:] {
				if k, v, ok := strings.Cut(w, "="); ok && k == name {
					var f float64
					if _, err := fmt.Sscan(v, &f); err != nil {
						t.Fatalf("%q: %v", line, err)
					}
					return f
				}
			}
			return missing
		}
		flag := func(name string) bool {
			for _, w := range word[1:] {
				if w == name {
					return true
				}
			}
			return false
		}
		switch word[0] {
		case "machine":
			m := Machine{Open: true, Zone: int(number("zone", 0)), Spot: flag("spot"), Fetch: flag("fetch"), Load: number("load", 0),
				Free: Amounts{CPU: number("cpu", 4), Memory: number("ram", 16)}}
			for _, w := range word {
				s, ok := strings.CutPrefix(w, "task=")
				stops, stopping := strings.CutPrefix(w, "stopping=")
				if stopping {
					s = stops
				}
				if ok || stopping {
					var cpu, age float64
					var prio, team int
					if n, err := fmt.Sscanf(s, "%f:%d:%f:%d", &cpu, &prio, &age, &team); n < 3 {
						t.Fatalf("%q: %v", line, err)
					}
					m.Tasks = append(m.Tasks, Task{ID: len(m.Tasks), Need: Amounts{CPU: cpu}, Priority: prio, Team: team, Stopping: stopping,
						StartedAt: now.Add(-time.Duration(age) * time.Second), EndsAt: now.Add(time.Duration(60-age) * time.Second)})
					m.Free[CPU] -= cpu
				}
			}
			if cpu := number("lasting", 0); cpu > 0 {
				m.Tasks = append(m.Tasks, Task{ID: len(m.Tasks), Need: Amounts{CPU: cpu}, Priority: 1, StartedAt: now, EndsAt: now.Add(5 * time.Minute)})
				m.Free[CPU] -= cpu
			}
			machines = append(machines, m)
		case "team":
			teams = append(teams, Team{CPUsMax: number("max", 100), CPUsUsed: number("used", 0), Opportunistic: flag("guest")})
		case "job":
			j := Job{Team: int(number("team", 0)), Priority: int(number("prio", 1)), Arrival: uint64(number("at", 0)),
				Need: Amounts{CPU: number("cpu", 1), Memory: number("ram", 1)}, Waiting: int(number("tasks", 1)), Tasks: int(number("tasks", 1)),
				Zone: int(number("zone", -1)), Spot: flag("spot"), OneZone: flag("onezone"), Apart: flag("apart"), Gang: flag("gang"), Reservation: flag("tocome"),
				Urgent: flag("urgent"), MayDisplace: flag("displace"), FetchTooSlow: flag("costly"), Overdue: flag("overdue"), BeyondGuarantee: flag("beyond"), Ratio: number("ratio", 0), TasksInZone: make([]int, zones)}
			if w := int(number("warm", -1)); w >= 0 {
				j.Image = make([]Image, len(machines))
				j.Image[w] = Warm
				if w := int(number("coming", -1)); w >= 0 {
					j.Image[w] = Coming
				}
			}
			jobs = append(jobs, j)
		case "load":
			var seconds, tasks int
			if _, err := fmt.Sscan(word[1]+" "+word[2], &seconds, &tasks); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			for range seconds {
				clock = clock.Add(time.Second)
				index.Update(Amounts{CPU: float64(tasks), Memory: float64(tasks)}, clock, time.Second, 4*time.Second)
			}
			fmt.Fprintf(out, "> index %.3f\n", index.Value())
		case "place":
			if teams == nil {
				teams = []Team{{CPUsMax: 100}}
			}
			plan := Place(now, machines, jobs, teams)
			for i := range jobs {
				var to []string
				for _, a := range plan.Assignments {
					if a.Job == i {
						to = append(to, fmt.Sprint(a.Machine))
					}
				}
				fmt.Fprintf(out, "> job %d to machines [%s], %d without\n", i, strings.Join(to, " "), plan.Unplaced[i])
			}
			for _, s := range plan.Preemptions {
				fmt.Fprintf(out, "> stop task %d on machine %d for job %d\n", s.Task, s.Machine, s.For)
			}
		default:
			t.Fatalf("%q", line)
		}
	})
}

// The weights are e^(-1/T) for the old value and the rest for the new second,
// not the printed e^(-T), and intervals missed are made up for.
func TestIndexWeights(t *testing.T) {
	var every, missed Index
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	one := Amounts{CPU: 1}
	for s := 1; s <= 8; s++ {
		every.Update(one, at(s), time.Second, 4*time.Second)
	}
	missed.Update(one, at(1), time.Second, 4*time.Second)
	missed.Update(one, at(8), time.Second, 4*time.Second)
	if want := 1 - math.Exp(-8.0/4); math.Abs(every.Value()-want) > 1e-9 || math.Abs(missed.Value()-want) > 1e-9 {
		t.Errorf("every second %v, with a gap %v, want %v", every.Value(), missed.Value(), want)
	}
}
