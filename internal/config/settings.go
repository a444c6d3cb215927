package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"time"
)

// Settings is what the platform hands over to one controller.
type Settings struct {
	Node       string
	Zone       string
	Listen     string
	PeerListen string
	Peers      []Peer
	CloudAddr  string
	StoreAddr  string
	Zones      []string
	Teams      []Team
	Objectives []Objective
	Workers    Workers
	Store      StoreLimits
	Cloud      CloudLimits
	Resources  Resources
}

// Peer is another controller.
type Peer struct{ Node, Zone, Addr string }

// Team has a guarantee and a limit on each of CPUs and GPUs. No guarantee is 0, no
// limit is infinite.
type Team struct {
	Name                                             string
	GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64
}

// Opportunistic tells whether the team has no guarantee: it uses what others leave.
func (t *Team) Opportunistic() bool { return t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 }

// Objective restates one aim at start or at finish.
type Objective struct {
	Kind   ObjectiveKind
	Class  string
	Within time.Duration
	Times  float64
}

// ObjectiveKind is what a service-level objective is about, in the protocol's words.
type ObjectiveKind string

// Kinds of the objectives at start: of a class, and of work within its team's guarantee.
const (
	KindWait      ObjectiveKind = "wait"
	KindGuarantee ObjectiveKind = "guarantee"
)

// Workers holds the workers' fixed intervals.
type Workers struct {
	HeartbeatInterval, Lease, CancelDeadline time.Duration

	GangWait   time.Duration // for which a task waits for the others of its gang; 0: not known
	GangNotice time.Duration // within which a gang's tasks notice that one is gone; 0: not known
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int

	// Next holds what is lower from some moment on that nobody announces; nil: nothing.
	Next *StoreLimits
}

// Safe returns limits within which every value and transaction stays, before that moment
// and after it. Rates are those of now: keeping the lower ones early costs starts, and
// the service says when one is exceeded.
func (s StoreLimits) Safe() StoreLimits {
	if s.Next != nil {
		s.ValueBytes, s.TxnOps = min(s.ValueBytes, s.Next.ValueBytes), min(s.TxnOps, s.Next.TxnOps)
	}
	return s
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS     float64
	ListLag time.Duration
}

// Resources holds what this process may use.
type Resources struct {
	CPUShare   float64
	MemBytes   int64
	MaxSockets int
}

// ReadSettings reads and checks the settings file. The error joins one error
// for each fault, each naming the field.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	s, err := ParseSettings(data)
	if err != nil {
		return nil, prefixEach(path, err)
	}
	return s, nil
}

// prefixEach puts the file's name before each of the joined errors.
func prefixEach(path string, err error) error {
	var out []error
	if j, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range j.Unwrap() {
			out = append(out, fmt.Errorf("%s: %w", path, e))
		}
		return errors.Join(out...)
	}
	return fmt.Errorf("%s: %w", path, err)
}

// ParseSettings checks the settings in data.
func ParseSettings(data []byte) (*Settings, error) {
	var top map[string]any
	if err := json.Unmarshal(data, &top); err != nil {
		return nil, errors.Join(fmt.Errorf("not a JSON object: %w", err))
	}
	r := &reader{}
	root := object{r, "", top}
	params := root.object("params")
	endpoints := root.object("endpoints")
	s := &Settings{
		Node:       root.text("node_name"),
		Zone:       root.text("site"),
		Listen:     root.addr("listen"),
		PeerListen: root.addr("peer_listen"),
		CloudAddr:  endpoints.addr("cloud"),
		StoreAddr:  endpoints.addr("state"),
	}
	for _, p := range root.list("peers") {
		s.Peers = append(s.Peers, Peer{p.text("node_name"), p.text("site"), p.addr("endpoint")})
	}
	for i, v := range params.values("zones") {
		z, ok := v.(string)
		if !ok || z == "" {
			r.fault(fmt.Sprintf("params.zones[%d]", i), "must be a text")
		}
		s.Zones = append(s.Zones, z)
	}
	seen := map[string]bool{}
	for _, t := range params.list("teams") {
		team := Team{t.text("name"), t.number("cpus", 0, 1e9), t.limit("cpus_max"),
			t.optional("gpus", 0, 1e9), t.limit("gpus_max")}
		if seen[team.Name] {
			r.fault(t.path+"name", "names a team twice")
		}
		seen[team.Name] = true
		s.Teams = append(s.Teams, team)
	}
	for _, o := range params.list("objectives") {
		class, _ := o.fields["class"].(string)
		s.Objectives = append(s.Objectives, Objective{ObjectiveKind(o.text("kind")), class,
			seconds(o.optional("within_s", 0, 1e6)), o.optional("times", 0, 1e3)})
	}
	w := params.object("workers")
	s.Workers = Workers{seconds(w.number("report_s", 0.01, 1e4)), seconds(w.number("lease_s", 0.01, 1e5)),
		seconds(w.number("cancel_s", 0.01, 1e5)), seconds(w.optional("gang_wait_s", 0.1, 1e5)), seconds(w.optional("gang_peer_s", 0.1, 1e4))}
	st := params.object("state")
	s.Store = StoreLimits{RPS: st.number("rps", 1, 1e9), WriteRPS: st.number("write_rps", 1, 1e9),
		ValueBytes: int(st.number("value_kb", 1, 1024) * 1024), TxnOps: int(st.number("txn_ops", 3, 1e4))}
	if st.fields["next"] != nil {
		s.Store.Next = st.object("next").lowered(s.Store)
	}
	c := params.object("cloud")
	s.Cloud = CloudLimits{c.number("rps", 0.01, 1e6), seconds(c.number("list_lag_s", 0, 1e4))}
	res := params.object("resources")
	s.Resources = Resources{res.number("cpu_share", 0.001, 1e4), int64(res.number("mem_mb", 16, 1e7) * (1 << 20)),
		int(res.number("max_sockets", 32, 1e7))}
	if err := errors.Join(r.errs...); err != nil {
		return nil, err
	}
	return s, nil
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

// reader gathers the faults of a whole file.
type reader struct{ errs []error }

func (r *reader) fault(field, format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

// object is one JSON object with the path that leads to it.
type object struct {
	r      *reader
	path   string
	fields map[string]any
}

func (o object) object(name string) object {
	m, ok := o.fields[name].(map[string]any)
	if !ok {
		o.r.fault(o.path+name, "must be an object")
		return object{&reader{}, "", nil} // its fields are not named one by one
	}
	return object{o.r, o.path + name + ".", m}
}

func (o object) values(name string) []any {
	l, ok := o.fields[name].([]any)
	if !ok {
		o.r.fault(o.path+name, "must be a list")
	}
	return l
}

func (o object) list(name string) []object {
	var out []object
	for i, v := range o.values(name) {
		path := fmt.Sprintf("%s%s[%d]", o.path, name, i)
		m, ok := v.(map[string]any)
		if !ok {
			o.r.fault(path, "must be an object")
			continue
		}
		out = append(out, object{o.r, path + ".", m})
	}
	return out
}

func (o object) text(name string) string {
	s, ok := o.fields[name].(string)
	if !ok || s == "" {
		o.r.fault(o.path+name, "must be a text that is not empty")
	}
	return s
}

func (o object) addr(name string) string {
	s := o.text(name)
	if s == "" {
		return s
	}
	if a, err := netip.ParseAddrPort(s); err != nil || !a.Addr().Is4() {
		o.r.fault(o.path+name, "%q must be an IPv4 address and port", s)
	}
	return s
}

func (o object) number(name string, least, most float64) float64 {
	f, ok := o.fields[name].(float64)
	if !ok {
		o.r.fault(o.path+name, "must be a number")
		return least
	}
	if math.IsNaN(f) || f < least || f > most {
		o.r.fault(o.path+name, "%v is not between %v and %v", f, least, most)
	}
	return f
}

// lowered reads limits to come; what is not named stays, and none is higher than now.
func (o object) lowered(now StoreLimits) *StoreLimits {
	read := func(name string, least, now float64) float64 {
		if o.fields[name] == nil {
			return now
		}
		return min(now, o.number(name, least, 1e9))
	}
	return &StoreLimits{RPS: read("rps", 1, now.RPS), WriteRPS: read("write_rps", 1, now.WriteRPS),
		ValueBytes: int(read("value_kb", 1, float64(now.ValueBytes)/1024) * 1024), TxnOps: int(read("txn_ops", 3, float64(now.TxnOps)))}
}

func (o object) optional(name string, least, most float64) float64 {
	if o.fields[name] == nil {
		return 0
	}
	return o.number(name, least, most)
}

// limit reads a limit, of which 0 means that there is none (DEPLOY-tulipshelf.md). It
// guards against a team without a guarantee of which every job was refused as beyond a limit of 0
// (inc-c8e5, inc-bc39).
func (o object) limit(name string) float64 {
	if f := o.optional(name, 0, 1e9); f > 0 {
		return f
	}
	return math.Inf(1)
}

// Warnings names what is allowed in the settings but hardly meant, a line each.
func (s *Settings) Warnings() []string {
	var out []string
	for _, t := range s.Teams {
		if t.MaxCPUs < t.GuaranteedCPUs || t.MaxGPUs < t.GuaranteedGPUs {
			out = append(out, fmt.Sprintf("team %s: its limit is below its guarantee, and holds", t.Name))
		}
	}
	return out
}

// HasController tells whether a controller stands in a zone.
func (s *Settings) HasController(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Zone == zone })
}
