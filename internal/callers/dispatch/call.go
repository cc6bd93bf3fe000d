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
	// Header is the caller's, without what concerns one connection only. It is
	// shared by attempts and not changed.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// AfterEvent continues a stream after an event; 0 begins it.
	AfterEvent int
	// Version is the weight version that the replica must have, 0 for any.
	Version int64
	// Once marks a request that must not run twice.
	Once bool
	// Resumable tells that a further run goes on behind what this one has made.
	Resumable bool
	// Tenant is whose request it is, empty where no tenants are declared.
	Tenant string
	// Metered marks a request that counts as its tenant's usage. Items of batch
	// jobs and calls of their scorers do not.
	Metered bool
	// Purpose is what the request is for; empty means a caller's request.
	Purpose exchange.Purpose
	// Rank is the priority of a generation among others at a model engine, the
	// first of them 1; 0 leaves it to the engine.
	Rank int
}

// RankOf is the rank of a route's priority, of which 0 is the most urgent.
func RankOf(priority int) int { return 1 + max(0, priority) }

// Conditions are what a dispatch asks of the replica.
type Conditions struct {
	// Replica is what the replica answers to that alone may run the request.
	Replica    string
	Remaining  time.Duration
	AfterEvent int
	Version    int64
	// Rank and Tenant are as in a Call.
	Rank   int
	Tenant string
}

// Verdict is what an answer's head says.
type Verdict struct {
	// RequestID is the request that the answer belongs to.
	RequestID string
	// Signed tells that a replica produced the answer by running the request.
	Signed bool
	// NotRun tells that the replica promises not to have run it.
	NotRun bool
	// OtherReplica tells that another incarnation has the address.
	OtherReplica bool
	// Version is the weight version at the beginning of the answer, 0 if it
	// names none.
	Version int64
}

// Headers writes and reads the headers between nodes and replicas.
type Headers interface {
	// Prepare adds the conditions of a dispatch.
	Prepare(header http.Header, conditions Conditions)
	// Judge reads the head of an answer.
	Judge(status int, header http.Header) Verdict
}
