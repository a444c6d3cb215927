//go:build oldversions

package controller

// Older versions as controllers of a test cluster. Their sources come from the repository's
// history: .ci/old-versions.

import (
	"context"
	"encoding/json"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/wire"
	previousconfig "tulipshelf/target/oldversion/previous/config"
	previouscontroller "tulipshelf/target/oldversion/previous/controller"
	previouswire "tulipshelf/target/oldversion/previous/wire"
	productionconfig "tulipshelf/target/oldversion/production/config"
	productioncontroller "tulipshelf/target/oldversion/production/controller"
	productionwire "tulipshelf/target/oldversion/production/wire"
)

// olderVersions are the versions that this one has to run beside.
var olderVersions = map[string]olderVersion{"production": startProduction, "previous": startPrevious}

// withEachOlderVersion runs f once for each older version, on a cluster of which all
// controllers run that version.
func withEachOlderVersion(t *testing.T, f func(c *cluster)) {
	for name, older := range olderVersions {
		t.Run(name, func(t *testing.T) { simulateFrom(t, older, f) })
	}
}

func startProduction(s *config.Settings, network *fake.Network) (func(context.Context) error, func() bool) {
	parsed, err := productionconfig.ParseSettings(platformFile(s))
	if err != nil {
		panic(err)
	}
	return restarted(func(crash func()) olderNode {
		return productioncontroller.New(parsed, productionconfig.DefaultOperator(), productioncontroller.Network{
			Dial: productionwire.DialFunc(network.Dial(s.Listen)),
			Listen: func(ctx context.Context, server *productionwire.Server) error {
				network.Serve(ctx, server.Addr, func(ctx context.Context, req *wire.Request) (resp wire.Response) {
					defer recoverCrash(crash)
					r := productionwire.Request(*req)
					return wire.Response(server.Handler(ctx, &r))
				})
				return nil
			}})
	})
}

func startPrevious(s *config.Settings, network *fake.Network) (func(context.Context) error, func() bool) {
	parsed, err := previousconfig.ParseSettings(platformFile(s))
	if err != nil {
		panic(err)
	}
	return restarted(func(crash func()) olderNode {
		return previouscontroller.New(parsed, previousconfig.DefaultOperator(), previouscontroller.Network{
			Dial: previouswire.DialFunc(network.Dial(s.Listen)),
			Listen: func(ctx context.Context, server *previouswire.Server) error {
				network.Serve(ctx, server.Addr, func(ctx context.Context, req *wire.Request) (resp wire.Response) {
					defer recoverCrash(crash)
					r := previouswire.Request(*req)
					return wire.Response(server.Handler(ctx, &r))
				})
				return nil
			}})
	})
}

// olderNode is a controller of an older version.
type olderNode interface {
	Run(context.Context) error
	Leads() bool
}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 3 * time.Second

// restarted returns a process that is started again when it crashes, as the platform does:
// production has a fault that ends it now and then (TestHeartbeatsWaitForLeaderLoop).
func restarted(start func(crash func()) olderNode) (run func(context.Context) error, leads func() bool) {
	var current atomic.Pointer[olderNode]
	run = func(ctx context.Context) error {
		for {
			life, crash := context.WithCancel(ctx)
			node := start(crash)
			current.Store(&node)
			err := node.Run(life)
			crashed := life.Err() != nil && ctx.Err() == nil
			crash()
			if !crashed || !clock.Sleep(ctx, restartDelay) {
				return err
			}
		}
	}
	leads = func() bool {
		node := current.Load()
		return node != nil && (*node).Leads()
	}
	return run, leads
}

// recoverCrash ends the whole process where a request has made it panic.
func recoverCrash(crash func()) {
	if recover() != nil {
		crash()
	}
}

// platformFile returns settings as the platform hands them over, which all versions read.
func platformFile(s *config.Settings) []byte {
	type object = map[string]any
	limit := func(f float64) float64 {
		if math.IsInf(f, 1) {
			return 0
		}
		return f
	}
	peers, teams, objectives := []object{}, []object{}, []object{}
	for _, p := range s.Peers {
		peers = append(peers, object{"node_name": p.Node, "site": p.Zone, "endpoint": p.Addr})
	}
	for _, t := range s.Teams {
		teams = append(teams, object{"name": t.Name, "cpus": t.GuaranteedCPUs, "cpus_max": limit(t.MaxCPUs), "gpus": t.GuaranteedGPUs, "gpus_max": limit(t.MaxGPUs)})
	}
	for _, o := range s.Objectives {
		objectives = append(objectives, object{"kind": o.Kind, "class": o.Class, "within_s": o.Within.Seconds(), "times": o.Times})
	}
	limits := func(l *config.StoreLimits) object {
		return object{"rps": l.RPS, "write_rps": l.WriteRPS, "value_kb": float64(l.ValueBytes) / 1024, "txn_ops": l.TxnOps}
	}
	state := limits(&s.Store)
	if s.Store.Next != nil {
		state["next"] = limits(s.Store.Next)
	}
	file, err := json.Marshal(object{
		"node_name": s.Node, "site": s.Zone, "listen": s.Listen, "peer_listen": s.PeerListen, "peers": peers,
		"endpoints": object{"cloud": s.CloudAddr, "state": s.StoreAddr},
		"params": object{"zones": s.Zones, "teams": teams, "objectives": objectives, "state": state,
			"workers": object{"report_s": s.Workers.HeartbeatInterval.Seconds(), "lease_s": s.Workers.Lease.Seconds(), "cancel_s": s.Workers.CancelDeadline.Seconds(),
				"gang_wait_s": s.Workers.GangWait.Seconds(), "gang_peer_s": s.Workers.GangNotice.Seconds()},
			"cloud":     object{"rps": s.Cloud.RPS, "list_lag_s": s.Cloud.ListLag.Seconds()},
			"resources": object{"cpu_share": s.Resources.CPUShare, "mem_mb": float64(s.Resources.MemBytes) / (1 << 20), "max_sockets": s.Resources.MaxSockets},
		},
	})
	if err != nil {
		panic(err)
	}
	return file
}
