package batch

import (
	"errors"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

const (
	// retryDelay is the Retry-After of refused calls.
	retryDelay = 200 * time.Millisecond
	// noReplicaRetryDelay is the Retry-After of jobs that no replica may run. It covers
	// the time in which a new replica or configuration reaches all nodes.
	noReplicaRetryDelay = 2 * time.Second
)

// refusal is the response to a call that is not served.
type refusal struct {
	status int
	// retryAfter is the delay after which the caller may retry, 0 for no retry.
	retryAfter time.Duration
}

// malformed is the refusal of an invalid call.
var malformed = refusal{status: http.StatusBadRequest}

// submissionRefusal maps an error of a submission to its refusal. An unknown outcome is
// a gateway timeout: the caller may retry, since the job is accepted once.
func submissionRefusal(err error) refusal {
	var unknown *jobstore.AcceptanceUnknownError
	var notAccepted *jobstore.NotAcceptedError
	switch {
	case errors.As(err, &unknown):
		// Whatever the cause is.
		return refusal{status: http.StatusGatewayTimeout}
	case errors.Is(err, ErrOtherTenant):
		return refusal{status: http.StatusConflict}
	case errors.Is(err, forward.ErrNoReplicaInAllowedRegions):
		return refusal{status: http.StatusServiceUnavailable, retryAfter: noReplicaRetryDelay}
	case errors.As(err, &notAccepted):
		return refusal{status: http.StatusServiceUnavailable, retryAfter: retryDelay}
	}
	return refusal{status: http.StatusGatewayTimeout}
}

// callRefusal maps an error of a call about a job to its refusal. It is "not found"
// only if the job or item is known not to exist, and a gateway timeout if the job may end all the same.
func callRefusal(err error) refusal {
	var endUnknown *jobstore.EndUnknownError
	if errors.As(err, &endUnknown) {
		return refusal{status: http.StatusGatewayTimeout}
	}
	if errors.Is(err, jobstore.ErrNoSuchJob) || errors.Is(err, ErrNoSuchItem) {
		return refusal{status: http.StatusNotFound}
	}
	return refusal{status: http.StatusServiceUnavailable, retryAfter: retryDelay}
}
