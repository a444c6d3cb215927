package controller

// Names and addresses of the hosts of a test cluster.

import (
	"fmt"
	"strings"
)

const (
	storeAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"

	controllerSubnet = "10.0." // also of the addresses at which controllers listen for their peers
	machineSubnet    = "10.1." // fake.Cloud gives machines addresses in it
	userPrefix       = "user"  // hosts of users have no address, as nothing is sent to them
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
