package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

func TestNewRefusal(t *testing.T) {
	quarantineUnknown := &dispatch.QuarantineUnknownError{RetryAfter: time.Second}
	notRun, quarantined := &dispatch.NotRunError{Replica: "r", Status: 503}, &dispatch.QuarantinedError{Fingerprint: "f", Remaining: quarantineRemaining}
	noEligible := func(reason routing.Reason) error { return &routing.NoEligibleEndpointError{Reason: reason} }
	for name, test := range map[string]struct {
		general          string
		cause, filterErr error
		reason           string
		retryAfter       time.Duration
		wantCause        error
	}{
		"no replica declared":               {ReasonNoReplica, routing.ErrNoEngineDeclared, routing.ErrNoEngineDeclared, ReasonNoReplica, 120 * time.Millisecond, routing.ErrNoEngineDeclared},
		"all full":                          {ReasonAllFull, notRun, nil, ReasonAllFull, 120 * time.Millisecond, notRun},
		"deadline passed":                   {ReasonExpired, context.DeadlineExceeded, nil, ReasonExpired, 120 * time.Millisecond, context.DeadlineExceeded},
		"all evacuated":                     {ReasonNoReplica, notRun, noEligible(routing.ReasonEvacuated), ReasonEvacuated, time.Second, noEligible(routing.ReasonEvacuated)},
		"all outside the allowed regions":   {ReasonNoReplica, notRun, noEligible(routing.ReasonOutsideRegions), ReasonOutsideRegions, 2 * time.Second, noEligible(routing.ReasonOutsideRegions)},
		"all warming up":                    {ReasonAllFull, notRun, noEligible(routing.ReasonSlowStart), ReasonWarmingUp, 120 * time.Millisecond, noEligible(routing.ReasonSlowStart)},
		"all unavailable":                   {ReasonNoReplica, notRun, noEligible(routing.ReasonUnavailable), ReasonNoReplica, 120 * time.Millisecond, noEligible(routing.ReasonUnavailable)},
		"no replica in the allowed regions": {ReasonOutsideRegions, ErrNoReplicaInAllowedRegions, nil, ReasonOutsideRegions, 2 * time.Second, ErrNoReplicaInAllowedRegions},
		"quarantined":                       {ReasonAllFull, quarantined, nil, ReasonQuarantined, quarantineRemaining, quarantined},
		"quarantine unknown":                {ReasonAllFull, quarantineUnknown, nil, ReasonQuarantineUnknown, quarantineUnknown.RetryAfter, quarantineUnknown},
		"quarantined and excluded":          {ReasonAllFull, quarantined, noEligible(routing.ReasonEvacuated), ReasonQuarantined, quarantineRemaining, quarantined},
	} {
		got := newRefusal(test.general, test.cause, test.filterErr)
		if got.Reason != test.reason || got.RetryAfter != test.retryAfter {
			t.Errorf("%s: reason %q, Retry-After %v, want %q, %v", name, got.Reason, got.RetryAfter, test.reason, test.retryAfter)
		}
		if !errors.Is(got.Cause, test.wantCause) && got.Cause.Error() != test.wantCause.Error() {
			t.Errorf("%s: cause %v, want %v", name, got.Cause, test.wantCause)
		}
	}
}
