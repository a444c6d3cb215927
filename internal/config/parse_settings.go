package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"time"
)

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

// limit reads a limit, of which 0 means that there is none (DEPLOY-tulipshelf.md). It
// guards against a team without a guarantee of which every job was refused as beyond a limit of 0
// (inc-c8e5, inc-bc39).
func (o object) limit(name string) float64 {
	if f := o.optional(name, 0, 1e9); f > 0 {
		return f
	}
	return math.Inf(1)
}
