package routing

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against believing a replica that reports less than this node has in flight there, and
// against using old reports.
func TestLoadUsesReportAsLowerBound(t *testing.T) {
	for _, test := range []struct {
		name             string
		atReport, now    int64
		running, waiting int
		age              time.Duration
		want             int64
	}{
		{"report above own", 1, 1, 6, 4, 0, 10},
		{"sent since", 1, 3, 6, 4, 0, 12},
		{"answered since", 3, 1, 6, 4, 0, 8},
		{"report below own", 5, 5, 2, 0, 0, 5},
		{"report below own, answered since", 5, 1, 2, 0, 0, 1},
		{"oldest used", 1, 1, 6, 4, reportedLoadLifetime, 10},
		{"too old", 1, 1, 6, 4, reportedLoadLifetime + time.Millisecond, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			endpoint := replicasOf(1, "e1")[0]
			endpoint.State.InFlight.Store(test.atReport)
			endpoint.State.ObserveLoad(ReportedLoad{Running: test.running, Waiting: test.waiting, Slots: 8, Slowdown: 2, HasSlowdown: true}, time.Now())
			endpoint.State.InFlight.Store(test.now)
			time.Sleep(test.age)
			if got := endpoint.Load(); got != test.want {
				t.Errorf("%s: load %d, want %d", test.name, got, test.want)
			}
			if factor, known := endpoint.State.ReportedSlowdown(time.Now()); known != (test.age <= reportedLoadLifetime) || known && factor != 2 || !known && factor != 1 {
				t.Errorf("%s: slowdown %v, known %v", test.name, factor, known)
			}
		})
	}
}

// Guards against noticing a slow replica only after slow answers, against counting the slowdown
// twice once answers are slow, and against a reported speed-up hiding slow answers.
func TestLatencyScoreUsesReportedSlowdown(t *testing.T) {
	query := &Query{Objective: 150 * time.Millisecond, Random: 12345}
	score := func(endpoint *Endpoint) float64 { return LatencyScorer{}.Score(query, endpoint) }
	synctest.Test(t, func(t *testing.T) {
		endpoint := replicasOf(1, "e1")[0]
		report := func(slowdown float64) {
			endpoint.State.ObserveLoad(ReportedLoad{Slots: 8, Slowdown: slowdown, HasSlowdown: true}, time.Now())
		}
		report(1)
		endpoint.State.Latency.Observe(60 * time.Millisecond)
		usual := score(endpoint)
		report(3)
		if got := score(endpoint); got >= usual {
			t.Errorf("score %v with a slowdown of 3, %v without", got, usual)
		}
		report(100)
		if got, least := score(endpoint), -latencyWeight*(maxLatencyRatio-toleratedLatencyFraction); got < least {
			t.Errorf("score %v is below its bound %v", got, least)
		}
		for range 30 {
			report(3)
			endpoint.State.Latency.Observe(180 * time.Millisecond)
		}
		if excess := endpoint.State.Latency.reportedExcess(); excess > time.Millisecond {
			t.Errorf("%s are added to the latency of answers that were already slow", excess)
		}
		report(1)
		slow := score(endpoint)
		report(0.5)
		if got := score(endpoint); got != slow {
			t.Errorf("score %v with a reported speed-up, %v without", got, slow)
		}
		report(6)
		time.Sleep(reportedLoadLifetime + time.Millisecond)
		if got := score(endpoint); got != slow {
			t.Errorf("score %v after the report expired, want %v", got, slow)
		}
	})
}

// Guards against all requests of a node, or of nodes with the same view, going to the replica
// that reports the least, and against ignoring the reports.
func TestPickSpreadsByReportedLoad(t *testing.T) {
	replicas := replicasOf(3, "e1")
	for number, replica := range replicas {
		replica.State.ObserveLoad(ReportedLoad{Running: 2 + 2*number, Slots: 8, Slowdown: 1, HasSlowdown: true}, time.Now())
	}
	plan := NewRankedPlan(Locality{Node: "node", Zone: "e1"}, replicas)
	picks := map[string]int{}
	for number := range uint64(600) {
		picked, _ := plan.Pick(&Query{Zone: "e1", Random: number * 7919})
		picks[picked.Name]++
	}
	least, middle, most := picks["replica-0"], picks["replica-1"], picks["replica-2"]
	if least <= middle || middle <= most || most < 30 {
		t.Errorf("%d, %d and %d picks of replicas that report 2, 4 and 6 requests", least, middle, most)
	}
}

// Guards against a node using all replicas of a service at their usual load, and against staying
// with a few full ones.
func TestRankedPlanWidensAtFullReplicas(t *testing.T) {
	for _, test := range []struct {
		running, want int
	}{{4, subsetSize}, {8, 12}} {
		replicas := replicasOf(12, "e1")
		plan, used := NewRankedPlan(Locality{Node: "node", Zone: "e1"}, replicas), map[*Endpoint]bool{}
		for random := range uint64(600) {
			picked, _ := plan.Pick(&Query{Zone: "e1", Random: random * 7919})
			used[picked] = true
			picked.State.ObserveLoad(ReportedLoad{Running: test.running, Slots: 8, Slowdown: 1, HasSlowdown: true}, time.Now())
		}
		if len(used) != test.want {
			t.Errorf("%d replicas used that report %d of 8 slots, want %d", len(used), test.running, test.want)
		}
	}
}
