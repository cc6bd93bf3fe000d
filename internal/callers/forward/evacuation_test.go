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
	var listed []*directory.Replica
	for _, replica := range table.View().Replicas {
		moved := *replica
		for _, id := range replicas {
			if id == replica.ID {
				moved.Zone = "evacuated"
			}
		}
		listed = append(listed, &moved)
	}
	table.SetReplicas(listed, 0)
	table.SetEvacuations([]string{"evacuated"})
}

func TestServiceInEvacuatedZonesIsRefusedAtOnce(t *testing.T) {
	for _, kind := range []directory.RouteKind{directory.RouteSafe, directory.RouteUnsafe, directory.RouteStream} {
		forwarder := newForwarder(startBackend(t, answers("ok")))
		evacuate(forwarder, "replica-0")
		began := time.Now()
		var err error
		if kind == directory.RouteStream {
			err = forwarder.Stream(context.Background(), route(kind), call(time.Second), nil)
		} else {
			_, err = forwarder.Do(context.Background(), route(kind), call(time.Second))
		}
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Reason != ReasonEvacuated || refused.RetryAfter != evacuatedRetryAfter {
			t.Errorf("%s ended with %v", kind, err)
		}
		if took := time.Since(began); took > roomRetryDelay {
			t.Errorf("%s was refused after %v", kind, took)
		}
	}
}

// Guards against a hedge or retry that reaches the evacuated zone when no other replica is left.
func TestHedgesAndRetriesStayOutOfAnEvacuatedZone(t *testing.T) {
	for name, first := range map[string]handler{"hedge": hangs, "retry": aborts, "full": status(503)} {
		there, evacuated := startBackend(t, first), startBackend(t, answers("ok"))
		forwarder := newForwarder(there, evacuated)
		evacuate(forwarder, "replica-1")
		hedged := route(directory.RouteSafe)
		hedged.Objective = 20 * time.Millisecond
		forwarder.Do(context.Background(), hedged, call(100*time.Millisecond))
		if runs := evacuated.runs.Load(); runs > 0 {
			t.Errorf("%s: %d requests reached the evacuated zone", name, runs)
		}
	}
}

// Guards against reporting all replicas as evacuated when one of them rejected the request.
func TestAFullReplicaBesideAnEvacuatedZoneIsToldAsFull(t *testing.T) {
	forwarder := newForwarder(startBackend(t, status(503)), startBackend(t, answers("ok")))
	evacuate(forwarder, "replica-1")
	tried := route(directory.RouteSafe)
	tried.Objective = 20 * time.Millisecond
	_, err := forwarder.Do(context.Background(), tried, call(time.Second))
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Reason != ReasonAllFull {
		t.Errorf("ended with %v", err)
	}
}
