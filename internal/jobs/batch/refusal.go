package batch

import (
	"errors"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

const (
	// retryDelay is when callers are told to repeat a refused call.
	retryDelay = 200 * time.Millisecond
	// withoutHomeRetryDelay is when to repeat a job that no replica may run: a replica
	// that is started or a configuration that is changed is known everywhere some seconds
	// later.
	withoutHomeRetryDelay = 2 * time.Second
)

// refusal is how a call is answered that is not served.
type refusal struct {
	status int
	// retryAfter is when the caller is told to repeat the call, 0 for not at all.
	retryAfter time.Duration
}

// malformed is the refusal of a call that cannot be understood or must not be made.
var malformed = refusal{status: http.StatusBadRequest}

// refusalOfSubmission is how a submission is refused that ended with an error. One whose
// outcome is not known is answered with a gateway timeout: the caller repeats it, and the
// job is accepted once.
func refusalOfSubmission(err error) refusal {
	var notTaken *jobstore.NotAcceptedError
	switch {
	case errors.Is(err, ErrOtherTenant):
		return refusal{status: http.StatusConflict}
	case errors.Is(err, forward.ErrNoReplicaInAllowedRegions):
		return refusal{status: http.StatusServiceUnavailable, retryAfter: withoutHomeRetryDelay}
	case errors.As(err, &notTaken):
		return refusal{status: http.StatusServiceUnavailable, retryAfter: retryDelay}
	}
	return refusal{status: http.StatusGatewayTimeout}
}

// refusalOfCall is how a read, a question for a body, or an end is refused: not found only
// where that is certain.
func refusalOfCall(err error) refusal {
	if errors.Is(err, jobstore.ErrNoSuchJob) || errors.Is(err, ErrNoSuchItem) {
		return refusal{status: http.StatusNotFound}
	}
	return refusal{status: http.StatusServiceUnavailable, retryAfter: retryDelay}
}
