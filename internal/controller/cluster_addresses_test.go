package controller

// Names and addresses of the hosts of a test cluster.

import (
	"fmt"
	"strings"
)

const (
	stateAddr = "10.2.0.1:2379"
	cloudAddr = "10.2.0.2:8443"
)

func nodeAddr(i int) string { return fmt.Sprintf("10.0.0.%d:8080", i+1) }

func peerAddr(i int) string { return fmt.Sprintf("10.0.0.%d:8081", i+1) }

func nodeName(i int) string { return fmt.Sprintf("shelf-%d", i) }

// isWorker tells whether an address is a worker's.
func isWorker(addr string) bool { return strings.HasPrefix(addr, "10.1.") }

// isNode tells whether an address is a controller's.
func isNode(addr string) bool { return strings.HasPrefix(addr, "10.0.") }
