package api

import (
	"log/slog"

	"tulipshelf/internal/wire"
)

// Statuses told to users beside the final ones.
const (
	pending = "pending"
	running = "running"
)

type status struct {
	ID      string `cbor:"uid"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

type brief struct {
	ID     string `cbor:"uid"`
	Status string `cbor:"status"`
}

func fail(code int, text string) wire.Response {
	slog.Debug("request refused", "status", code, "why", text)
	return wire.Response{Status: code, Body: wire.Marshal(wire.Problem{Error: text})}
}

// later is the answer to whatever cannot be decided now: at once, with the time
// to come back.
func later() wire.Response { return wire.Response{Status: 503, RetryAfter: 1} }
