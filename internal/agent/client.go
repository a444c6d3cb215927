package agent

// The client of worker agents, for requests that do not wait for the next heartbeat.

import (
	"context"
	"fmt"

	"tulipshelf/internal/wire"
)

// StatusError is a response of an agent with a status that carries no heartbeat.
type StatusError struct{ Status int }

// Error returns the status as a text.
func (e StatusError) Error() string {
	return fmt.Sprintf("agent: response status %d, expected 200 or 409", e.Status)
}

// Call makes a direct request to an agent and returns the heartbeat that it responds with, also if
// it refuses the commands (status 409: its incarnation is another, or it has seen a higher token).
// The error is a StatusError for any other status but 200; otherwise it is one of the client, which
// wraps wire.ErrNotSent if the request had no effect, or of the codec. It may be called from any
// goroutine.
func Call(ctx context.Context, client *wire.Client, method, path string, body []byte) (Heartbeat, error) {
	var heartbeat Heartbeat
	resp, err := client.Do(ctx, method, path, body)
	if err != nil {
		return heartbeat, err
	}
	if resp.Status != wire.StatusOK && resp.Status != wire.StatusConflict {
		return heartbeat, StatusError{resp.Status}
	}
	return heartbeat, wire.Unmarshal(resp.Body, &heartbeat)
}
