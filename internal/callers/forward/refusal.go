package forward

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// defaultRetryAfter is the Retry-After of refusals that end once a slot is free.
	defaultRetryAfter = 120 * time.Millisecond
	// evacuatedRetryAfter and outsideRegionsRetryAfter allow for the time until every node
	// has learned of the end of an evacuation, or of a new replica or configuration.
	evacuatedRetryAfter      = time.Second
	outsideRegionsRetryAfter = 2 * time.Second
)

// refusalReasons maps the filter that excluded the last replicas to the reason for the
// caller. For other filters the caller gets the general reason.
var refusalReasons = map[routing.Reason]string{
	routing.ReasonEvacuated:      ReasonEvacuated,
	routing.ReasonOutsideRegions: ReasonOutsideRegions,
	routing.ReasonSlowStart:      ReasonWarmingUp,
}

// newRefusal returns the error for a request that has not run. The reason is
// ReasonQuarantined, ReasonCrashBackoff or ReasonQuarantineUnknown if the cause, the last error,
// is a refusal by the guard; otherwise the one that follows from filterErr, the error of a pick that failed
// although no replica was skipped as already tried (may be nil); otherwise the general reason.
func newRefusal(general string, cause, filterErr error) *RefusedError {
	var quarantined *dispatch.QuarantinedError
	if errors.As(cause, &quarantined) {
		return &RefusedError{Reason: ReasonQuarantined, RetryAfter: quarantined.Remaining, Cause: cause}
	}
	var backoff *dispatch.CrashBackoffError
	if errors.As(cause, &backoff) {
		return &RefusedError{Reason: ReasonCrashBackoff, RetryAfter: backoff.Remaining, Cause: cause}
	}
	var quarantineUnknown *dispatch.QuarantineUnknownError
	if errors.As(cause, &quarantineUnknown) {
		return &RefusedError{Reason: ReasonQuarantineUnknown, RetryAfter: quarantineUnknown.RetryAfter, Cause: cause}
	}
	refused := &RefusedError{Reason: general, Cause: cause}
	if filterErr != nil {
		refused.Cause = filterErr
		if filterRefusal, mapped := refusalReasons[filterReason(filterErr)]; mapped {
			refused.Reason = filterRefusal
		}
	}
	refused.RetryAfter = retryAfter(refused.Reason)
	return refused
}

// retryAfter returns the Retry-After for a reason. It does not cover refusals by the guard,
// whose errors determine the delay.
func retryAfter(reason string) time.Duration {
	switch reason {
	case ReasonEvacuated:
		return evacuatedRetryAfter
	case ReasonOutsideRegions:
		return outsideRegionsRetryAfter
	}
	return defaultRetryAfter
}

// isQuarantined reports whether the guard refused the request, in which case no other
// replica may get it either.
func isQuarantined(err error) bool {
	var quarantined *dispatch.QuarantinedError
	var backoff *dispatch.CrashBackoffError
	var quarantineUnknown *dispatch.QuarantineUnknownError
	return errors.As(err, &quarantined) || errors.As(err, &backoff) || errors.As(err, &quarantineUnknown)
}

// filterReason returns the reason of the filter that excluded the last replicas, or "" if
// the error is not a *routing.NoEligibleEndpointError.
func filterReason(err error) routing.Reason {
	var noEligible *routing.NoEligibleEndpointError
	if errors.As(err, &noEligible) {
		return noEligible.Reason
	}
	return ""
}
