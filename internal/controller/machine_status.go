package controller

// Direct requests for the status of machines by a controller that does not lead.

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/wire"
)

const (
	// maxAnswerAge is the age, from the time of the question, up to which the answers of machines are acted on.
	maxAnswerAge = agent.RequestTimeout + time.Second

	// statusSocketDivisor is the divisor of MaxSockets that gives the maximum number of machines that are
	// asked at the same time.
	statusSocketDivisor = 20
)

// maxStatusRequests returns the maximum number of machines that askMachines may be given.
func (n *Node) maxStatusRequests() int {
	return max(1, n.settings.Resources.MaxSockets/statusSocketDivisor)
}

// askMachines asks machines for their status, all at the same time, at their addresses in the cloud's list, and
// records which attempts of cancelled jobs the answers prove gone. Machines that are not listed are not asked.
func (n *Node) askMachines(ctx context.Context, listed []cloud.Machine, names []string) {
	var asking sync.WaitGroup
	for i := range listed {
		if machine := &listed[i]; slices.Contains(names, machine.Name) {
			asking.Go(func() { n.askMachine(ctx, machine.Name, machine.Addr) })
		}
	}
	asking.Wait()
}

// askMachine asks one machine for its status. An answer of another machine, which has taken over the address, is
// ignored.
func (n *Node) askMachine(ctx context.Context, name, addr string) {
	ctx, cancel := context.WithTimeout(ctx, agent.RequestTimeout)
	defer cancel()
	client := wire.Client{Dial: n.dial, Addr: addr}
	defer client.CloseIdle()
	status, err := agent.Call(ctx, &client, wire.MethodGet, agent.StatusPath, nil)
	if err != nil {
		slog.Debug("machine with cancelled tasks did not answer", "machine", name, "err", err)
		return
	}
	if status.Machine == name {
		n.gone.observeHeartbeat(&status)
	}
}
