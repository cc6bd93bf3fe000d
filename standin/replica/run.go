package replica

import (
	"time"
)

// Run is one request that a replica ran.
type Run struct {
	ID      string
	Method  string
	Target  string
	Body    string
	After   int
	Version int64
	// Tenant is the tenant that the node named, and Credentials what it passed on
	// of the caller's credentials, which must be empty.
	Tenant      string
	Credentials string
	// Priority is the priority header as it came, empty for none.
	Priority string
	At       time.Time
}

// OrderSeen is one order as it arrived.
type OrderSeen struct {
	Owner   string
	Token   uint64
	Version int64
	At      time.Time
}
