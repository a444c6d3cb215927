// Package api is the users' side of a controller: it takes submissions and
// cancellations on any node, with or without a leader, and answers polls. What
// it tells is durable in the state service before it is told.
package api
