package autoscale

import (
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// testService returns a service with 12 replicas of 8 slots each in three zones, and its baseline.
func testService() (*ServiceState, map[string]int) {
	baseline := map[string]int{"a": 4, "b": 4, "c": 4}
	return &ServiceState{
		Service: "model", Slots: 8, Present: baseline, Evacuated: map[string]bool{},
		Scaling: directory.Scaling{Least: 1, Most: 10, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}},
	}, baseline
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name   string
		policy Policy
		change func(state *ServiceState)
		want   string
	}{
		{"no policy", PolicyNone, func(state *ServiceState) { state.OpenItems = 1000 }, "a 4, b 4, c 4"},
		{"little work keeps the baseline", PolicyWork, func(state *ServiceState) { state.OpenItems = 10 }, "a 4, b 4, c 4"},
		{"open items exceed the slots", PolicyWork, func(state *ServiceState) { state.OpenItems = 116 }, "a 5, b 6, c 5"},
		{"utilization above the target", PolicySlots, func(state *ServiceState) { state.RunningItems = 96 }, "a 5, b 6, c 5"},
		{"limit per zone", PolicyWork, func(state *ServiceState) { state.OpenItems = 10000 }, "a 10, b 10, c 10"},
		{"evacuated zone", PolicyWork, func(state *ServiceState) { state.Evacuated["b"] = true }, "a 6, b 4, c 6"},
		{"exhausted zone keeps its replicas", PolicyWork, func(state *ServiceState) {
			state.OpenItems, state.Exhausted = 116, map[string]bool{"b": true}
		}, "a 6, b 4, c 6"},
		{"all zones evacuated", PolicyWork, func(state *ServiceState) {
			state.Evacuated = map[string]bool{"a": true, "b": true, "c": true}
		}, "a 4, b 4, c 4"},
	} {
		state, baseline := testService()
		test.change(state)
		got := ""
		for number, target := range Decide(test.policy, state, baseline) {
			if number > 0 {
				got += ", "
			}
			got += fmt.Sprint(target.Zone, " ", target.Replicas)
		}
		if got != test.want {
			t.Errorf("%s: targets %s, want %s", test.name, got, test.want)
		}
	}
}

func TestDecideReasons(t *testing.T) {
	state, baseline := testService()
	state.Evacuated["a"] = true
	for _, target := range Decide(PolicyWork, state, baseline) {
		want := ReasonEvacuation
		if target.Zone == "a" {
			want = ReasonBase
		}
		if target.Reason != want {
			t.Errorf("zone %s: reason %q, want %q", target.Zone, target.Reason, want)
		}
	}
}
