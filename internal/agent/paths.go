package agent

// Paths that worker agents serve for direct requests.
const (
	StatusPath   = "/status"
	CommandsPath = "/commands"
)
