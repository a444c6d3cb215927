package agent

// The client for direct requests to worker agents, which do not wait for the next heartbeat.

import (
	"context"
	"fmt"

	"tulipshelf/internal/wire"
)

// StatusError is the error for a response status other than 200 and 409. Such a response carries no
// heartbeat.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e StatusError) Error() string {
	return fmt.Sprintf("agent: response status %d, expected 200 or 409", e.Status)
}

// Call makes a direct request to an agent and returns the heartbeat in the response. A response with
// status 409 has one too: the agent refuses the commands because its incarnation differs or because it
// has seen a higher token. For any status but 200 and 409 the error is a StatusError. Other errors come
// from the client, which wraps wire.ErrNotSent if the request had no effect, or from the codec. Call is
// safe for concurrent use.
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
