package ingress

import (
	"net/http"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Jobs serves the calls about batch jobs.
type Jobs interface {
	// IsCall returns whether a request is a call about a batch job.
	IsCall(request *http.Request) bool
	// ServeCall answers such a call of a tenant, empty for any.
	ServeCall(writer http.ResponseWriter, request *http.Request, tenant string)
	// Submit takes a new batch job and answers its caller.
	Submit(writer http.ResponseWriter, request *http.Request, submitted Submitted)
}

// Submitted is a new batch job as it came.
type Submitted struct {
	Route *directory.Route
	// ID is the caller's id of the job.
	ID string
	// Tenant owns the job; empty where no tenants are declared.
	Tenant string
	Body   []byte
}
