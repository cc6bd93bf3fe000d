package replica

import (
	"time"
)

// Run is one request that a replica ran.
type Run struct {
	ID     string
	Method string
	Target string
	Body   string
	// After is the Last-Event-Id header, 0 if absent.
	After   int
	Version int64
	// Tenant is the tenant header sent by the node. Credentials is the caller's
	// Authorization header, which the node must not forward.
	Tenant      string
	Credentials string
	// Priority is the priority header; empty if absent.
	Priority string
	At       time.Time
}

// ReceivedOrder is one received order to load a weight version.
type ReceivedOrder struct {
	Owner   string
	Token   uint64
	Version int64
	At      time.Time
}
