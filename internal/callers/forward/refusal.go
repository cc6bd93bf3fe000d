package forward

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// defaultRetryAfter is the Retry-After of refusals that a free slot ends.
	defaultRetryAfter = 120 * time.Millisecond
	// evacuatedRetryAfter and outsideHomeRetryAfter cover the time in which every node
	// learns of the end of an evacuation, or of a new replica or configuration.
	evacuatedRetryAfter   = time.Second
	outsideHomeRetryAfter = 2 * time.Second
)

// refusalReasons are the texts for callers where one filter refused all replicas. The
// filters that are missing here leave the general reason.
var refusalReasons = map[routing.Reason]string{
	routing.ReasonEvacuated:      ReasonEvacuated,
	routing.ReasonOutsideRegions: ReasonOutsideHome,
	routing.ReasonSlowStart:      ReasonWarmingUp,
}

// newRefusal returns the refusal of a request that has not run: its reason and its
// Retry-After. The cause is the last error. A quarantine goes first; then excludedAll,
// the error of a pick that left no replica out as tried, nil if there was none; then the
// general reason.
func newRefusal(general string, cause, excludedAll error) *RefusedError {
	var quarantined *dispatch.QuarantinedError
	if errors.As(cause, &quarantined) {
		return &RefusedError{Reason: ReasonQuarantined, RetryAfter: quarantined.Left, Cause: cause}
	}
	refused := &RefusedError{Reason: general, Cause: cause}
	if excludedAll != nil {
		refused.Cause = excludedAll
		if specific, known := refusalReasons[filterReason(excludedAll)]; known {
			refused.Reason = specific
		}
	}
	refused.RetryAfter = retryAfter(refused.Reason)
	return refused
}

// retryAfter returns the Retry-After of a reason but ReasonQuarantined, whose time is
// that of the quarantine.
func retryAfter(reason string) time.Duration {
	switch reason {
	case ReasonEvacuated:
		return evacuatedRetryAfter
	case ReasonOutsideHome:
		return outsideHomeRetryAfter
	}
	return defaultRetryAfter
}

// isQuarantined returns whether the guard refused the request, so that no replica will
// do.
func isQuarantined(err error) bool {
	var quarantined *dispatch.QuarantinedError
	return errors.As(err, &quarantined)
}

// filterReason returns the reason of the filter that left no replica, empty if the
// error is of another kind.
func filterReason(err error) routing.Reason {
	var nobody *routing.NoEligibleEndpointError
	if errors.As(err, &nobody) {
		return nobody.Reason
	}
	return ""
}
