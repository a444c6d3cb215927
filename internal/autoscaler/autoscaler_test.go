package autoscaler

import (
	"math"
	"reflect"
	"testing"
	"time"

	"tulipshelf/internal/placement"
)

func cpus(n float64) placement.Amounts {
	return placement.Amounts{placement.CPU: n, placement.Memory: n}
}

func pools() []Pool {
	return []Pool{
		{Zone: 0, Spot: true, Price: 0.1, Capacity: cpus(4)},
		{Zone: 0, Price: 0.2, Capacity: cpus(4)},
		{Zone: 1, Price: 0.2, Capacity: cpus(4)},
	}
}

// The cheapest pool that the tasks may use is rented, spread over zones, and
// only for what does not fit into the machines there are, booting ones included. What
// the most important demand needs comes first.
func TestRent(t *testing.T) {
	service := Demand{Need: cpus(2), Zone: -1, Tasks: 6}
	array := Demand{Need: cpus(1), Zone: -1, Spot: true, Tasks: 4}
	booting := Machine{Zone: 0, Free: cpus(4), Usable: true}
	d := Plan([]Demand{service, array}, []Machine{booting}, pools(), time.Minute)
	if want := []Rent{{2, 1}, {1, 1}, {0, 1}}; !reflect.DeepEqual(d.ScaleOut, want) {
		t.Errorf("rent %v, want %v", d.ScaleOut, want)
	}
	blocked := pools()
	blocked[0].Blocked = true
	d = Plan([]Demand{array}, nil, blocked, time.Minute)
	if want := []Rent{{1, 1}}; !reflect.DeepEqual(d.ScaleOut, want) {
		t.Errorf("spot refused: rent %v, want %v", d.ScaleOut, want)
	}
	d = Plan([]Demand{{Need: cpus(5), Zone: -1, Tasks: 1}}, nil, pools(), time.Minute)
	if len(d.ScaleOut) != 0 {
		t.Errorf("rent %v for what fits nowhere", d.ScaleOut)
	}
}

// Only empty machines go back, once idle for long enough and not needed.
func TestReturn(t *testing.T) {
	machines := []Machine{
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Minute},
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Minute},
		{Free: cpus(3), Usable: true},
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Second},
	}
	d := Plan([]Demand{{Need: cpus(1), Zone: -1, Tasks: 4}}, machines, pools(), 10*time.Second)
	if want := []int{1}; !reflect.DeepEqual(d.ScaleIn, want) {
		t.Errorf("return %v, want %v", d.ScaleIn, want)
	}
}

func TestSlots(t *testing.T) {
	for _, x := range []struct {
		name  string
		works []ArrayWork
		have  float64
		want  float64
	}{
		{"nothing to do", nil, 10, 0},
		{"tasks take turns on what is there", []ArrayWork{{Due: 100, Run: 10, Seconds: 100}}, 10, 1},
		{"short by its due time, new machines in time", []ArrayWork{{Due: 100, Run: 10, Seconds: 2000}}, 10, 30},
		{"due sooner than a machine boots, done before one would be up", []ArrayWork{{Due: 30, Run: 10, Seconds: 400}}, 10, 10},
		{"late already: not more than halves the wait", []ArrayWork{{Due: -5, Run: 20, Seconds: 4000}}, 20, 100},
	} {
		if got := Slots(x.works, x.have, 50); math.Abs(got-x.want) > 0.5 {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}

func TestOffered(t *testing.T) {
	o := DemandHistory{Memory: 100 * time.Second}
	now := time.Unix(0, 0)
	if o.Rate(now) != 0 {
		t.Error("load before any arrival")
	}
	for range 1000 { // 20 s of run time each second
		o.Add(20, now)
		now = now.Add(time.Second)
	}
	if got := o.Rate(now); math.Abs(got-20) > 0.5 {
		t.Errorf("steady load %v, want 20", got)
	}
	if got := o.Rate(now.Add(2 * time.Second)); got < 19 {
		t.Errorf("after a silence like others %v", got)
	}
	// Arrivals came each second, so a silence of 100 s is more than chance.
	if got := o.Rate(now.Add(100 * time.Second)); got > 1 {
		t.Errorf("long after the last arrival %v", got)
	}
}

func TestLearned(t *testing.T) {
	var l RuntimeEstimator
	if l.Factor("class") != 1 {
		t.Error("corrected before anything is known")
	}
	l.Add("class", 10, 20)
	if f := l.Factor("class"); f < 1 || f > 1.1 {
		t.Errorf("one task changes the factor to %v", f)
	}
	for range 500 {
		l.Add("class", 10, 20)
	}
	if f := l.Factor("class"); math.Abs(f-2) > 0.01 || l.Factor("other") != 1 {
		t.Errorf("factor %v, want 2", f)
	}
}

// What an earlier leader has kept gives the next one the same estimates, and what
// is read of jobs that came before counts less with its age.
func TestMemo(t *testing.T) {
	var l RuntimeEstimator
	o := DemandHistory{Memory: 100 * time.Second}
	now := time.Unix(1000, 0)
	for range 200 {
		o.Add(20, now)
		l.Add("class", 10, 20)
		now = now.Add(time.Second)
	}
	kept := NewEstimates(&o, &l)
	var l2 RuntimeEstimator
	o2 := DemandHistory{Memory: 100 * time.Second}
	kept.Restore(&o2, &l2)
	later := now.Add(3 * time.Second)
	if a, b := o.Rate(later), o2.Rate(later); math.Abs(a-b) > 0.01 || l.Factor("class") != l2.Factor("class") {
		t.Errorf("recalled %v and %v, were %v and %v", b, l2.Factor("class"), a, l.Factor("class"))
	}
	fresh, aged := DemandHistory{Memory: 100 * time.Second}, DemandHistory{Memory: 100 * time.Second}
	fresh.Add(1000, later)
	aged.Add(1000, later)
	fresh.Add(1000, later)
	aged.Add(1000, later.Add(-100*time.Second))
	if a, b := aged.Rate(later), fresh.Rate(later); a > 0.8*b {
		t.Errorf("work of 100 s ago counts %v, of now %v", a, b)
	}
}

func TestDrain(t *testing.T) {
	for _, x := range []struct {
		name  string
		works []ArrayWork
		have  float64
		usual float64
		want  float64
	}{
		{"nothing waits", []ArrayWork{{Run: 60}}, 100, 100, 0},
		{"done by the time that machines are up", []ArrayWork{{Run: 60, Waits: 600}}, 100, 60, 0},
		{"spread over a task's run", []ArrayWork{{Run: 100, Waits: 6000}}, 100, 100, 160},
		{"spread over four boots", []ArrayWork{{Run: 25, Waits: 6000}}, 100, 100, 175},
	} {
		if got := Drain(x.works, x.have, x.usual, 20); math.Abs(got-x.want) > 0.5 {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}
