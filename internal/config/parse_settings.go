package config

// Parsing of the settings file. The names and units of its fields are defined only here.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
)

const (
	kilobyte = 1 << 10
	megabyte = 1 << 20

	// maxAmount is the upper bound of amounts and rates. It is far above every sensible value.
	maxAmount = 1e9

	// minTxnOps is the lower bound of the store's limit on the mutations of one transaction.
	minTxnOps = 3
)

// ReadSettings reads and checks the settings file at path. The error is one of the file system, or joins
// one error for each fault as ParseSettings does, each with the path before it.
func ReadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	settings, err := ParseSettings(data)
	if err != nil {
		return nil, prefixEach(path, err)
	}
	return settings, nil
}

// ParseSettings parses and checks the settings in data. The error joins a FieldError for each fault, or
// only the error of the JSON decoder.
func ParseSettings(data []byte) (*Settings, error) {
	var fields map[string]any
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, errors.Join(fmt.Errorf("not a JSON object: %w", err))
	}
	found := &faults{}
	root := object{faults: found, fields: fields}
	params := root.object("params")
	endpoints := root.object("endpoints")
	settings := &Settings{
		Node:       root.text("node_name"),
		Zone:       root.text("site"),
		Listen:     root.addr("listen"),
		PeerListen: root.addr("peer_listen"),
		CloudAddr:  endpoints.addr("cloud"),
		StoreAddr:  endpoints.addr("state"),
		Peers:      parsePeers(root.objects("peers")),
		Zones:      params.texts("zones"),
		Teams:      parseTeams(params.objects("teams")),
		Objectives: parseObjectives(params.objects("objectives")),
		Workers:    parseWorkers(params.object("workers")),
		Store:      parseStoreLimits(params.object("state")),
		Cloud:      parseCloudLimits(params.object("cloud")),
		Resources:  parseResources(params.object("resources")),
	}
	if err := errors.Join(found.errs...); err != nil {
		return nil, err
	}
	return settings, nil
}

func parsePeers(objects []object) []Peer {
	var peers []Peer
	for _, peer := range objects {
		peers = append(peers, Peer{
			Node: peer.text("node_name"),
			Zone: peer.text("site"),
			Addr: peer.addr("endpoint"),
		})
	}
	return peers
}

func parseTeams(objects []object) []Team {
	var teams []Team
	names := map[string]bool{}
	for _, team := range objects {
		parsed := Team{
			Name:           team.text("name"),
			GuaranteedCPUs: team.number("cpus", 0, maxAmount),
			MaxCPUs:        parseMaximum(team, "cpus_max"),
			GuaranteedGPUs: team.optionalNumber("gpus", 0, maxAmount),
			MaxGPUs:        parseMaximum(team, "gpus_max"),
		}
		if names[parsed.Name] {
			team.fault("name", "names a team twice")
		}
		names[parsed.Name] = true
		teams = append(teams, parsed)
	}
	return teams
}

// parseMaximum returns one limit of a team's quota, or +Inf if the field is 0, null or missing. In all
// these cases the platform means that there is no limit.
//
// Guards against refusing every job of a team without a guarantee: a limit of 0, taken literally, allows
// no use of the resource (docs/incidents/inc-c8e5.md, docs/incidents/inc-bc39.md).
func parseMaximum(team object, name string) float64 {
	if maximum := team.optionalNumber(name, 0, maxAmount); maximum > 0 {
		return maximum
	}
	return math.Inf(1)
}

func parseObjectives(objects []object) []Objective {
	var objectives []Objective
	for _, objective := range objects {
		objectives = append(objectives, Objective{
			Kind:   ObjectiveKind(objective.text("kind")),
			Class:  objective.optionalText("class"),
			Within: objective.optionalSeconds("within_s", 0, 1e6),
			Times:  objective.optionalNumber("times", 0, 1e3),
		})
	}
	return objectives
}

func parseWorkers(workers object) Workers {
	return Workers{
		HeartbeatInterval: workers.seconds("report_s", 0.01, 1e4),
		Lease:             workers.seconds("lease_s", 0.01, 1e5),
		CancelDeadline:    workers.seconds("cancel_s", 0.01, 1e5),
		GangWait:          workers.optionalSeconds("gang_wait_s", 0.1, 1e5),
		GangNotice:        workers.optionalSeconds("gang_peer_s", 0.1, 1e4),
	}
}

func parseStoreLimits(store object) StoreLimits {
	limits := StoreLimits{
		RPS:        store.number("rps", 1, maxAmount),
		WriteRPS:   store.number("write_rps", 1, maxAmount),
		ValueBytes: int(store.number("value_kb", 1, 1024) * kilobyte),
		TxnOps:     int(store.number("txn_ops", minTxnOps, 1e4)),
	}
	if store.has("next") {
		limits.Next = parseNextLimits(store.object("next"), limits)
	}
	return limits
}

// parseNextLimits parses the limits that will replace the current ones. A limit that is left out does not
// change, and none is raised.
func parseNextLimits(next object, current StoreLimits) *StoreLimits {
	lowered := func(name string, minimum, current float64) float64 {
		if !next.has(name) {
			return current
		}
		return min(current, next.number(name, minimum, maxAmount))
	}
	return &StoreLimits{
		RPS:        lowered("rps", 1, current.RPS),
		WriteRPS:   lowered("write_rps", 1, current.WriteRPS),
		ValueBytes: int(lowered("value_kb", 1, float64(current.ValueBytes)/kilobyte) * kilobyte),
		TxnOps:     int(lowered("txn_ops", minTxnOps, float64(current.TxnOps))),
	}
}

func parseCloudLimits(cloud object) CloudLimits {
	return CloudLimits{
		RPS:     cloud.number("rps", 0.01, 1e6),
		ListLag: cloud.seconds("list_lag_s", 0, 1e4),
	}
}

func parseResources(resources object) Resources {
	return Resources{
		CPUShare:   resources.number("cpu_share", 0.001, 1e4),
		MemBytes:   int64(resources.number("mem_mb", 16, 1e7) * megabyte),
		MaxSockets: int(resources.number("max_sockets", 32, 1e7)),
	}
}
