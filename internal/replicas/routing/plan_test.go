package routing

import (
	"errors"
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

func testPlan(count int) *Plan {
	endpoints := make([]*Endpoint, count)
	for i := range endpoints {
		name := fmt.Sprintf("engine-%d", i)
		endpoints[i] = &Endpoint{Name: name, Zone: fmt.Sprintf("zone-%d", i%9), Slots: 16, Hash: hashOf(name), TakesRequests: true, TakesRollouts: true, State: NewEndpointState()}
		endpoints[i].State.SetReport(EndpointReport{Running: i % 8, Version: 3})
	}
	return NewPlan("zone-0", endpoints)
}

// exclude excludes the endpoints for which keep returns false.
func exclude(plan *Plan, keep func(*Endpoint) bool) {
	for _, endpoint := range plan.Endpoints() {
		report := *endpoint.State.Report()
		report.Excluded = !keep(endpoint)
		endpoint.State.SetReport(report)
	}
}

func TestPickAppliesFilters(t *testing.T) {
	plan := testPlan(50)
	exclude(plan, func(endpoint *Endpoint) bool { return endpoint.Name == "engine-37" })
	picked, err := plan.Pick(&Query{Zone: "zone-0", PrefixHash: 5, Random: 9})
	if err != nil || picked.Name != "engine-37" {
		t.Fatalf("picked %v, error %v", picked, err)
	}
	cases := []struct {
		name   string
		query  Query
		modify func(*Endpoint)
	}{
		{"avoided", Query{Avoid: "engine-37"}, nil},
		{"too old", Query{MinVersion: 4}, nil},
		{"full", Query{MaxLoadShare: 1}, func(endpoint *Endpoint) { endpoint.State.InFlight.Store(20) }},
		{"cordoned", Query{}, func(endpoint *Endpoint) { endpoint.Cordoned = true }},
		{"other role", Query{Rollout: true}, func(endpoint *Endpoint) { endpoint.TakesRollouts = false }},
	}
	for _, test := range cases {
		if test.modify != nil {
			test.modify(picked)
		}
		if _, err := plan.Pick(&test.query); !errors.Is(err, ErrNoEngineAvailable) {
			t.Errorf("%s: error %v, want ErrNoEngineAvailable", test.name, err)
		}
		picked.State.InFlight.Store(0)
	}
	if _, err := NewPlan("z", nil).Pick(&Query{}); !errors.Is(err, ErrNoEngineDeclared) {
		t.Errorf("empty plan: error %v, want ErrNoEngineDeclared", err)
	}
}

func TestPickPrefixAffinity(t *testing.T) {
	plan := testPlan(40)
	exclude(plan, func(*Endpoint) bool { return true })
	for _, endpoint := range plan.Endpoints() {
		endpoint.State.SetReport(EndpointReport{Version: 1})
	}
	home, err := plan.Pick(&Query{PrefixHash: 77, Random: 1})
	if err != nil {
		t.Fatal(err)
	}
	for random := range uint64(20) {
		if picked, _ := plan.Pick(&Query{PrefixHash: 77, Random: random}); picked != home {
			t.Errorf("requests with the same prefix went to %s and %s", home.Name, picked.Name)
		}
	}
	home.State.InFlight.Store(64)
	if picked, _ := plan.Pick(&Query{PrefixHash: 77, Random: 3}); picked == home {
		t.Error("a request went to its cache home although that is overloaded")
	}
}

func TestPickSpreadsLoad(t *testing.T) {
	plan := testPlan(20)
	for _, endpoint := range plan.Endpoints() {
		endpoint.State.SetReport(EndpointReport{Version: 1})
	}
	random := uint64(1)
	for range 2000 {
		random = rendezvous.Weight(random, randomStep)
		picked, err := plan.Pick(&Query{Random: random})
		if err != nil {
			t.Fatal(err)
		}
		picked.State.InFlight.Add(1)
	}
	for _, endpoint := range plan.Endpoints() {
		if count := endpoint.State.InFlight.Load(); count < 60 || count > 140 {
			t.Errorf("%s got %d of 2000 requests", endpoint.Name, count)
		}
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	plan := testPlan(600)
	query := Query{Zone: "zone-0", PrefixHash: 12345}
	if allocations := testing.AllocsPerRun(100, func() {
		query.Random++
		_, _ = plan.Pick(&query)
	}); allocations != 0 {
		t.Errorf("a pick allocates %.1f times", allocations)
	}
}

func BenchmarkPickAmong600(b *testing.B) {
	plan := testPlan(600)
	query := Query{Zone: "zone-0", PrefixHash: 12345, Rollout: false}
	b.ReportAllocs()
	for b.Loop() {
		query.Random++
		query.PrefixHash++
		if _, err := plan.Pick(&query); err != nil {
			b.Fatal(err)
		}
	}
}
