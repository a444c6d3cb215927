package controller

// Names and addresses of the hosts of a test cluster.

import (
	"fmt"
	"strings"
)

const (
	storeAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"

	controllerSubnet = "10.0." // prefix of the addresses at which controllers serve users, agents and peers
	machineSubnet    = "10.1." // prefix of the addresses that fake.Cloud gives to machines
	userPrefix       = "user"  // prefix of the names of users' hosts; nothing is sent to them, so they have no address
)

// nodeAddr returns the address at which controller i serves users and agents.
func nodeAddr(i int) string { return fmt.Sprintf(controllerSubnet+"0.%d:8080", i+1) }

// peerAddr returns the address at which controller i serves the other controllers.
func peerAddr(i int) string { return fmt.Sprintf(controllerSubnet+"0.%d:8081", i+1) }

// nodeName returns the name of controller i.
func nodeName(i int) string { return fmt.Sprintf("shelf-%d", i) }

// isMachine reports whether addr is the address of an agent.
func isMachine(addr string) bool { return strings.HasPrefix(addr, machineSubnet) }

// isController reports whether addr is the address of a controller.
func isController(addr string) bool { return strings.HasPrefix(addr, controllerSubnet) }

// isUser reports whether addr is the host of a user.
func isUser(addr string) bool { return strings.HasPrefix(addr, userPrefix) }
