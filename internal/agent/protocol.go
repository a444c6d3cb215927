package agent

import "time"

// Paths that worker agents serve for direct requests.
const (
	StatusPath   = "/status"
	CommandsPath = "/commands"
)

// RequestTimeout bounds a direct request to an agent.
const RequestTimeout = 1500 * time.Millisecond

// MaxCommands is how many commands one answer or request carries: far below the protocol's 64 KiB.
const MaxCommands = 40
