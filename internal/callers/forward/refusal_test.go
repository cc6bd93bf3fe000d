package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

func TestRefusalsByCause(t *testing.T) {
	notRun, held := &dispatch.NotRunError{Replica: "r", Status: 503}, &dispatch.QuarantinedError{Fingerprint: "f", Remaining: quarantineLeft}
	left := func(reason routing.Reason) error { return &routing.NoEligibleEndpointError{Reason: reason} }
	for name, test := range map[string]struct {
		general            string
		cause, excludedAll error
		reason             string
		retryAfter         time.Duration
		wantCause          error
	}{
		"no replica declared":       {ReasonNoReplica, routing.ErrNoEngineDeclared, routing.ErrNoEngineDeclared, ReasonNoReplica, 120 * time.Millisecond, routing.ErrNoEngineDeclared},
		"all full":                  {ReasonAllFull, notRun, nil, ReasonAllFull, 120 * time.Millisecond, notRun},
		"no time left":              {ReasonExpired, context.DeadlineExceeded, nil, ReasonExpired, 120 * time.Millisecond, context.DeadlineExceeded},
		"all evacuated":             {ReasonNoReplica, notRun, left(routing.ReasonEvacuated), ReasonEvacuated, time.Second, left(routing.ReasonEvacuated)},
		"all outside the home":      {ReasonNoReplica, notRun, left(routing.ReasonOutsideRegions), ReasonOutsideRegions, 2 * time.Second, left(routing.ReasonOutsideRegions)},
		"all warming up":            {ReasonAllFull, notRun, left(routing.ReasonSlowStart), ReasonWarmingUp, 120 * time.Millisecond, left(routing.ReasonSlowStart)},
		"all unavailable":           {ReasonNoReplica, notRun, left(routing.ReasonUnavailable), ReasonNoReplica, 120 * time.Millisecond, left(routing.ReasonUnavailable)},
		"no replica in the regions": {ReasonOutsideRegions, ErrNoReplicaInAllowedRegions, nil, ReasonOutsideRegions, 2 * time.Second, ErrNoReplicaInAllowedRegions},
		"quarantined":               {ReasonAllFull, held, nil, ReasonQuarantined, quarantineLeft, held},
		"quarantined and excluded":  {ReasonAllFull, held, left(routing.ReasonEvacuated), ReasonQuarantined, quarantineLeft, held},
	} {
		got := newRefusal(test.general, test.cause, test.excludedAll)
		if got.Reason != test.reason || got.RetryAfter != test.retryAfter {
			t.Errorf("%s: %q after %v, want %q after %v", name, got.Reason, got.RetryAfter, test.reason, test.retryAfter)
		}
		if !errors.Is(got.Cause, test.wantCause) && got.Cause.Error() != test.wantCause.Error() {
			t.Errorf("%s: cause %v, want %v", name, got.Cause, test.wantCause)
		}
	}
}
