package forward

import (
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// evacuatedWait is when a caller is told to come back whose replicas are all in
// evacuated zones. Nobody knows when an evacuation ends; this is about the time from
// its end until every node has heard of it, so that coming back sooner finds nothing
// new.
const evacuatedWait = time.Second

// refusal is a request that has not run and never will. Where a filter refused all
// replicas and not only those that are left, unpicked tells so, and its reason goes
// before the general one; nil where some would do.
func refusal(reason string, cause, unpicked error) *RefusedError {
	refused := &RefusedError{Reason: reason, RetryAfter: comeBack, Cause: cause}
	var quarantined *dispatch.QuarantinedError
	if errors.As(cause, &quarantined) {
		refused.Reason, refused.RetryAfter = ReasonQuarantined, quarantined.Left
		return refused
	}
	if unpicked == nil {
		return refused
	}
	refused.Cause = unpicked
	switch filterReason(unpicked) {
	case routing.ReasonEvacuated:
		refused.Reason, refused.RetryAfter = ReasonEvacuated, evacuatedWait
	case routing.ReasonOutsideHome:
		refused.Reason, refused.RetryAfter = ReasonOutsideHome, homesWait
	case routing.ReasonSlowStart:
		refused.Reason = ReasonWarmingUp
	}
	return refused
}

// isQuarantined tells whether an attempt failed since replicas end under the request: no
// further one will do.
func isQuarantined(err error) bool {
	var quarantined *dispatch.QuarantinedError
	return errors.As(err, &quarantined)
}

// filterReason is that of the filter that left no replica, "" if an error does not tell.
func filterReason(err error) routing.Reason {
	var nobody *routing.LeftNobodyError
	if errors.As(err, &nobody) {
		return nobody.Reason
	}
	return ""
}
