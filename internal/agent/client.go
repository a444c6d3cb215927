package agent

import (
	"context"
	"fmt"

	"tulipshelf/internal/wire"
)

// Call makes a direct request to a worker and returns its report.
func Call(ctx context.Context, c *wire.Client, method, path string, body []byte) (r Heartbeat, err error) {
	resp, err := c.Do(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return r, fmt.Errorf("status %d", resp.Status)
	}
	return r, wire.Unmarshal(resp.Body, &r)
}
