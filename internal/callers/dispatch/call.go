package dispatch

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
)

// Call is a request to be sent to replicas.
type Call struct {
	// ID is the request id that the caller chose.
	ID     string
	Method string
	Target string
	Host   string
	// Header holds the caller's headers without hop-by-hop headers. Attempts share it,
	// so it must not be modified.
	Header http.Header
	Body   []byte
	// Deadline is the time by which this node must have the response.
	Deadline time.Time
	// LastEventID is the id of the event after which a stream is resumed, 0 to start from
	// the beginning.
	LastEventID int
	// Version is the weight version that the replica must have, 0 for any.
	Version int64
	// AtMostOnce is set if the request must not run twice. It is then sent only over a
	// connection that the replica is unlikely to close at the same time.
	AtMostOnce bool
	// Resumable is set if another attempt can continue after the events of this one.
	Resumable bool
	// Deferred is set for work that the deployment has accepted and must complete: items of
	// batch jobs and calls of their scorers. Crashes of replicas delay it, but it is never
	// quarantined.
	Deferred bool
	// Tenant is the caller's tenant, empty if no tenants are declared.
	Tenant string
	// Metered is set if the request counts toward its tenant's usage. Items of batch jobs
	// and calls of their scorers do not.
	Metered bool
	// Purpose labels the connection metrics; empty means exchange.PurposeLive.
	Purpose exchange.Purpose
	// EnginePriority is the scheduling priority at the replica's engine: 1 is the most urgent,
	// 0 means the replica's default.
	EnginePriority int
}

// EnginePriorityOf converts a route's priority, of which 0 is the most urgent, to an
// EnginePriority.
func EnginePriorityOf(priority int) int { return 1 + max(0, priority) }
