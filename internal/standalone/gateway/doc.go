// Package gateway is a node's HTTP interface: the completion API towards
// callers, the steps of trainers, and what operators read. The worker that
// serves a connection owns the request's machine; it reads shared state only
// through the routing snapshot and waits on channels for what others do.
package gateway
