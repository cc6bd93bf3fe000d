package dispatch

import (
	"net/http"
	"time"
)

// Conditions is what an attempt passes to the replica in headers.
type Conditions struct {
	// Replica is the instance name of the only replica that may run the request.
	Replica string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// AfterEvent, Version, Rank and Tenant are those of the Call.
	AfterEvent int
	Version    int64
	Rank       int
	Tenant     string
}

// Verdict is what the headers of a response tell about it.
type Verdict struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if a replica produced the response by running the request.
	Signed bool
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// OtherReplica is set if another replica now has the address.
	OtherReplica bool
	// Version is the weight version at the start of the response, 0 if unknown.
	Version int64
}

// Headers encodes and decodes the headers between nodes and replicas.
type Headers interface {
	// Prepare adds the metadata of an attempt to the headers of its request.
	Prepare(header http.Header, conditions Conditions)
	// Judge decodes the status and headers of a response.
	Judge(status int, header http.Header) Verdict
}
