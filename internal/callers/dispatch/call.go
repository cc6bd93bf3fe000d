package dispatch

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
)

// Call is a request on its way to replicas.
type Call struct {
	// ID is the caller's id of the request.
	ID     string
	Method string
	Target string
	Host   string
	// Header is the caller's, without headers of one connection. It is shared by
	// attempts and must not be changed.
	Header http.Header
	Body   []byte
	// Deadline is when this node must have the answer.
	Deadline time.Time
	// AfterEvent is the id of the event after which a stream goes on; 0 begins it.
	AfterEvent int
	// Version is the weight version that the replica must have, 0 for any.
	Version int64
	// Once is set if the request must not run twice. It goes over a connection that the
	// replica is not about to close.
	Once bool
	// Resumable is set if a further run goes on after the events of this one.
	Resumable bool
	// Tenant is the caller, empty where no tenants are declared.
	Tenant string
	// Metered is set if the request counts as its tenant's usage. Items of batch jobs and
	// calls of their scorers do not.
	Metered bool
	// Purpose is for the metrics of connections; empty means a caller's request.
	Purpose exchange.Purpose
	// Rank is the priority of a generation at a replica, 1 the most urgent; 0 leaves it
	// to the replica.
	Rank int
}

// RankOf returns the Rank of a route's priority, of which 0 is the most urgent.
func RankOf(priority int) int { return 1 + max(0, priority) }
