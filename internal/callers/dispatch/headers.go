package dispatch

import (
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// RequestMetadata is what an attempt passes to the replica in headers.
type RequestMetadata struct {
	// Replica is the instance name of the only replica that may run the request.
	Replica string
	// Remaining is the time until the deadline of the call.
	Remaining time.Duration
	// LastEventID, Version, EnginePriority and Tenant are those of the Call.
	LastEventID    int
	Version        int64
	EnginePriority int
	Tenant         string
}

// ResponseMetadata is what the headers of a response tell about it.
type ResponseMetadata struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Signed is set if a replica produced the response by running the request.
	Signed bool
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// AddressReassigned is set if another replica now has the address.
	AddressReassigned bool
	// Version is the weight version at the start of the response, 0 if unknown.
	Version int64
	// Load is the load that the replica reports, nil if it reports none or an unusable one.
	Load *routing.ReportedLoad
	// LoadError is a *LoadReportError if a report is unusable.
	LoadError error
}

// HeaderCodec encodes and decodes the headers between nodes and replicas.
type HeaderCodec interface {
	// Encode adds the metadata of an attempt to the headers of its request.
	Encode(header http.Header, metadata RequestMetadata)
	// Decode decodes the status and headers of a response.
	Decode(status int, header http.Header) ResponseMetadata
}
