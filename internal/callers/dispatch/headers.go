package dispatch

import (
	"net/http"
	"time"
)

// Conditions are what a dispatch asks of a replica.
type Conditions struct {
	// Replica is the instance name of the only replica that may run the request.
	Replica string
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// AfterEvent, Version, Rank and Tenant are as in a Call.
	AfterEvent int
	Version    int64
	Rank       int
	Tenant     string
}

// Verdict is what the head of an answer says.
type Verdict struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Signed is set if a replica made the answer by running the request.
	Signed bool
	// NotRun is set if the replica promises not to have run it.
	NotRun bool
	// OtherReplica is set if another replica has the address by now.
	OtherReplica bool
	// Version is the weight version at the beginning of the answer, 0 if none is named.
	Version int64
}

// Headers writes and reads the headers between nodes and replicas.
type Headers interface {
	// Prepare adds the conditions of a dispatch to the headers of a request.
	Prepare(header http.Header, conditions Conditions)
	// Judge reads the head of an answer.
	Judge(status int, header http.Header) Verdict
}
