// Command world2 runs one case of the second review: the project's controllers as processes on loopback
// addresses, with small stand-ins of the state service, the cloud, the workers and the users.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

// scenarios by name. Each returns 1 if a rule was broken, and 0 if not.
var scenarios = map[string]func(trouble bool) int{}

func main() {
	verbose = os.Getenv("WORLD_QUIET") == ""
	if len(os.Args) < 2 || scenarios[os.Args[1]] == nil {
		logf("no such case: %v", os.Args[1:])
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		exit(2)
	}()
	code := scenarios[os.Args[1]](os.Getenv("TROUBLE") != "0")
	logf("exit %d", code)
	exit(code)
}
