package routing

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLatencyAverageDecays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		average := &LatencyAverage{}
		if average.Estimate() != 0 {
			t.Error("estimate without observations")
		}
		for range 20 {
			average.Observe(100 * time.Millisecond)
		}
		average.ObserveAtLeast(10 * time.Millisecond)
		if average.Estimate() != 100*time.Millisecond {
			t.Errorf("average %s of response times of 100ms", average.Estimate())
		}
		average.ObserveAtLeast(500 * time.Millisecond)
		if average.Estimate() <= 200*time.Millisecond {
			t.Errorf("average %s after 500ms without a response", average.Estimate())
		}
		time.Sleep(latencyLifetime * 2)
		if average.Estimate() != 0 {
			t.Errorf("average %s long after the last response", average.Estimate())
		}
	})
}

// Guards against slow replicas getting as many requests as fast ones while each node has few
// requests in flight.
func TestPickAvoidsSlowEndpoint(t *testing.T) {
	plan := testPlan(3)
	for number, endpoint := range plan.Endpoints() {
		endpoint.State.SetReport(EndpointReport{})
		endpoint.State.Latency.Observe(30 * time.Millisecond)
		if number == 0 {
			endpoint.State.Latency.Observe(400 * time.Millisecond)
		}
	}
	slow := 0
	for number := range uint64(300) {
		picked, err := plan.Pick(&Query{Zone: "zone-0", Random: number * 7919, Objective: 150 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		if picked == plan.Endpoints()[0] {
			slow++
		}
	}
	if slow > 30 {
		t.Errorf("%d of 300 requests went to the slow endpoint", slow)
	}
}
