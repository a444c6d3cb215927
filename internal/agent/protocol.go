package agent

import "time"

// Paths that worker agents serve to direct requests.
const (
	StatusPath   = "/status"
	CommandsPath = "/commands"
)

// RequestTimeout is the time limit of a direct request to an agent.
const RequestTimeout = 1500 * time.Millisecond

// MaxCommands is the largest number of commands in one response or request. It keeps the body far below
// the protocol's limit of 64 KiB.
const MaxCommands = 40
