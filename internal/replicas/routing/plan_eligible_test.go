package routing

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against an order that differs from that of the picks, or contains replicas that picks
// skip.
func TestEligibleOrder(t *testing.T) {
	plan := testPlan(4)
	for _, endpoint := range plan.Endpoints() {
		endpoint.State.SetReport(EndpointReport{})
	}
	endpoints := plan.Endpoints()
	endpoints[0].State.SetReport(EndpointReport{Excluded: true})
	endpoints[1].State.Latency.Observe(300 * time.Millisecond)
	eligible := plan.Eligible(&Query{Objective: 100 * time.Millisecond, Tried: []string{endpoints[2].Name}})
	if !slices.Equal(eligible, []*Endpoint{endpoints[3], endpoints[1]}) {
		t.Errorf("%d eligible endpoints, want the fast one, then the slow one", len(eligible))
	}
}

// Guards against a panic for a sticky request and a plan without endpoints.
func TestEligibleWithoutEndpoints(t *testing.T) {
	if eligible := NewRankedPlan(Locality{Node: "node", Zone: "e1"}, nil).Eligible(&Query{PrefixHash: 1}); len(eligible) != 0 {
		t.Errorf("%d eligible endpoints of an empty plan", len(eligible))
	}
}

// Guards against a response time under load that counts as the one without, in a long burst or
// in one with the first requests of a node.
func TestLeastLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		average := &LatencyAverage{}
		if average.Least() != 0 {
			t.Error("least without observations")
		}
		average.Observe(25 * time.Millisecond)
		if average.Least() != 0 {
			t.Errorf("least %v after one observation", average.Least())
		}
		for range 100 {
			time.Sleep(leastPeriod / 100)
			average.Observe(200 * time.Millisecond)
		}
		if average.Least() != 25*time.Millisecond {
			t.Errorf("least %v after a period of load", average.Least())
		}
		time.Sleep(2*leastPeriod + 1)
		average.Observe(80 * time.Millisecond)
		time.Sleep(leastMinHistory)
		average.Observe(90 * time.Millisecond)
		if average.Least() != 80*time.Millisecond {
			t.Errorf("least %v, want that of the new period", average.Least())
		}
	})
}

// Guards against a time without load that follows from requests that the replica has not finished,
// or answered with an error instead of the work.
func TestLeastLatencyCountsWholeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		average := &LatencyAverage{}
		average.ObserveAtLeast(time.Millisecond)
		time.Sleep(leastMinHistory)
		average.ObserveError(2 * time.Millisecond)
		if average.Least() != 0 {
			t.Errorf("least %v without a whole answer", average.Least())
		}
		average.Observe(80 * time.Millisecond)
		if average.Least() != 0 {
			t.Errorf("least %v after one whole answer", average.Least())
		}
		time.Sleep(leastMinHistory)
		average.ObserveAtLeast(time.Millisecond)
		average.ObserveError(2 * time.Millisecond)
		if average.Least() != 80*time.Millisecond {
			t.Errorf("least %v, want that of the whole answer", average.Least())
		}
	})
}
