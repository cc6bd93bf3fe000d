package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// evacuate moves the given replicas to a zone that is evacuated.
func evacuate(forwarder *Forwarder, replicas ...string) {
	table := forwarder.config.Directory
	var all []*directory.Replica
	for _, replica := range table.View().Replicas {
		moved := *replica
		for _, id := range replicas {
			if id == replica.ID {
				moved.Zone = "evacuated"
			}
		}
		all = append(all, &moved)
	}
	table.SetReplicas(all, 0)
	table.SetEvacuations([]string{"evacuated"})
}

func TestRefusesWhenAllEvacuated(t *testing.T) {
	for _, kind := range []directory.RouteKind{directory.RouteSafe, directory.RouteUnsafe, directory.RouteStream} {
		forwarder := newForwarder(startBackend(t, respondWith("ok")))
		evacuate(forwarder, "replica-0")
		start := time.Now()
		var err error
		if kind == directory.RouteStream {
			err = forwarder.Stream(context.Background(), testRoute(kind), testCall(time.Second), nil)
		} else {
			_, err = forwarder.Do(context.Background(), testRoute(kind), testCall(time.Second))
		}
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonEvacuated || refused.RetryAfter != evacuatedRetryAfter {
			t.Errorf("%s: error %v, want refusal because of the evacuation", kind, err)
		}
		if elapsed := time.Since(start); elapsed > capacityRetryDelay {
			t.Errorf("%s: refused after %v, want no wait", kind, elapsed)
		}
	}
}

// Guards against a hedge or retry that reaches the evacuated zone when no other replica is
// left.
func TestRetriesAvoidEvacuatedZone(t *testing.T) {
	for name, first := range map[string]handler{"hedge": hang, "retry": abortConnection, "full": respondStatus(503)} {
		available, evacuated := startBackend(t, first), startBackend(t, respondWith("ok"))
		forwarder := newForwarder(available, evacuated)
		evacuate(forwarder, "replica-1")
		hedged := testRoute(directory.RouteSafe)
		hedged.Objective = 20 * time.Millisecond
		forwarder.Do(context.Background(), hedged, testCall(100*time.Millisecond))
		if runs := evacuated.runs.Load(); runs > 0 {
			t.Errorf("%s: %d requests sent to the evacuated zone", name, runs)
		}
	}
}

// Guards against reporting all replicas as evacuated when one of them rejected the request.
func TestRefusalReasonWhenSomeEvacuated(t *testing.T) {
	forwarder := newForwarder(startBackend(t, respondStatus(503)), startBackend(t, respondWith("ok")))
	evacuate(forwarder, "replica-1")
	route := testRoute(directory.RouteSafe)
	route.Objective = 20 * time.Millisecond
	_, err := forwarder.Do(context.Background(), route, testCall(time.Second))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonAllFull {
		t.Errorf("error %v, want refusal because all replicas are full", err)
	}
}
