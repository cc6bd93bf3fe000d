package routing

import (
	"fmt"
	"testing"
	"time"
)

// replicasOf returns idle replicas that are spread over the zones in turn. The first letter of
// a zone is its region.
func replicasOf(count int, zones ...string) []*Endpoint {
	endpoints := make([]*Endpoint, count)
	for number := range endpoints {
		zone, state := zones[number%len(zones)], NewEndpointState()
		state.SetReport(EndpointReport{})
		endpoints[number] = NewReplicaEndpoint(fmt.Sprintf("replica-%d", number), "", zone, zone[:1], "service", 8, state)
	}
	return endpoints
}

func pickOne(t *testing.T, plan *Plan) *Endpoint {
	t.Helper()
	picked, err := plan.Pick(&Query{Zone: "e1", Objective: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return picked
}

// Guards against consecutive requests switching replicas because of small latency differences,
// or using distant replicas while a nearer one is available.
func TestRankedPlanPrefersNearestReplica(t *testing.T) {
	plan := NewRankedPlan(Locality{Node: "node", Zone: "e1", Region: "e"}, replicasOf(6, "w1", "e2", "e1"))
	for _, zones := range [][]string{{"e1", "e1"}, {"e2", "e2"}, {"w1", "w1"}} {
		for _, zone := range zones {
			picked := pickOne(t, plan)
			if picked.Zone != zone {
				t.Fatalf("picked %s in %s, want one in %s", picked.Name, picked.Zone, zone)
			}
			for number := range 20 {
				picked.State.Latency.Observe(time.Duration(20+number) * time.Millisecond)
				if again := pickOne(t, plan); again != picked {
					t.Fatalf("consecutive requests went to %s and %s", picked.Name, again.Name)
				}
			}
			picked.State.SetReport(EndpointReport{Excluded: true})
		}
	}
}

func TestRankedPlanAvoidsFailingAndSlow(t *testing.T) {
	plan := NewRankedPlan(Locality{Node: "node", Zone: "e1"}, replicasOf(6, "e1"))
	failing := pickOne(t, plan)
	failing.State.Failures.Add(1)
	slow := pickOne(t, plan)
	if slow == failing {
		t.Fatal("a failing replica was picked")
	}
	slow.State.Latency.Observe(300 * time.Millisecond)
	if third := pickOne(t, plan); third == failing || third == slow {
		t.Error("a failing or slow replica was picked")
	}
}

// Guards against all nodes of a zone preferring the same replicas.
func TestRankedPlansSpreadAcrossReplicas(t *testing.T) {
	replicas := replicasOf(8, "e1")
	counts := map[string]int{}
	for number := range 400 {
		counts[pickOne(t, NewRankedPlan(Locality{Node: fmt.Sprintf("node-%d", number), Zone: "e1"}, replicas)).Name]++
	}
	for _, replica := range replicas {
		if counts[replica.Name] < 25 || counts[replica.Name] > 80 {
			t.Errorf("%s is the first replica of %d of 400 nodes", replica.Name, counts[replica.Name])
		}
	}
}

// Guards against overloading the first replicas when a node has many concurrent requests.
func TestRankedPlanWidensUnderLoad(t *testing.T) {
	replicas := replicasOf(12, "e1", "w1")
	plan := NewRankedPlan(Locality{Node: "node", Zone: "e1", Region: "e"}, replicas)
	for range 48 {
		pickOne(t, plan).State.InFlight.Add(1)
	}
	for _, replica := range replicas {
		if count := replica.State.InFlight.Load(); count < 3 || count > 5 {
			t.Errorf("%s in %s got %d of 48 requests", replica.Name, replica.Zone, count)
		}
	}
}
