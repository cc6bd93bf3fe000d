package ingress

import (
	"net/http"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Jobs serves the requests that concern batch jobs.
type Jobs interface {
	// IsJobRequest reports whether a request is about an existing batch job.
	IsJobRequest(request *http.Request) bool
	// ServeJobRequest serves such a request. An empty tenant has access to any job.
	ServeJobRequest(writer http.ResponseWriter, request *http.Request, tenant string)
	// Submit accepts or refuses a new batch job and writes the response.
	Submit(writer http.ResponseWriter, request *http.Request, submission Submission)
}

// Submission is a new batch job as received from a caller.
type Submission struct {
	Route *directory.Route
	// ID is the id that the caller gave the job.
	ID string
	// Tenant owns the job; empty on public routes and if no tenants are declared.
	Tenant string
	Body   []byte
}
