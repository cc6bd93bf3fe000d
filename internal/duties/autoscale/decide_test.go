package autoscale

import (
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// fleet returns a service with 12 replicas of 8 slots each in three zones, and its baseline.
func fleet() (*ServiceState, map[string]int) {
	base := map[string]int{"a": 4, "b": 4, "c": 4}
	return &ServiceState{
		Service: "model", Slots: 8, Present: base, Evacuated: map[string]bool{},
		Scaling: directory.Scaling{Least: 1, Most: 10, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25}},
	}, base
}

func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name   string
		policy Policy
		change func(view *ServiceState)
		want   string
	}{
		{"nothing is ordered without a policy", PolicyNone, func(view *ServiceState) { view.OpenItems = 1000 }, "a 4, b 4, c 4"},
		{"little work leaves the fleet as it was", PolicyWork, func(view *ServiceState) { view.OpenItems = 10 }, "a 4, b 4, c 4"},
		{"steps that overlap want a slot for each item", PolicyWork, func(view *ServiceState) { view.OpenItems = 116 }, "a 5, b 6, c 5"},
		{"slots in use beyond the target", PolicySlots, func(view *ServiceState) { view.RunningItems = 96 }, "a 5, b 6, c 5"},
		{"no zone holds more than its bound", PolicyWork, func(view *ServiceState) { view.OpenItems = 10000 }, "a 10, b 10, c 10"},
		{"the others make up for a closed zone", PolicyWork, func(view *ServiceState) { view.Evacuated["b"] = true }, "a 6, b 4, c 6"},
		{"a zone with none to give keeps what it has", PolicyWork, func(view *ServiceState) {
			view.OpenItems, view.Exhausted = 116, map[string]bool{"b": true}
		}, "a 6, b 4, c 6"},
		{"nobody makes up where all are closed", PolicyWork, func(view *ServiceState) {
			view.Evacuated = map[string]bool{"a": true, "b": true, "c": true}
		}, "a 4, b 4, c 4"},
	} {
		view, base := fleet()
		test.change(view)
		got := ""
		for number, one := range Decide(test.policy, view, base) {
			if number > 0 {
				got += ", "
			}
			got += fmt.Sprint(one.Zone, " ", one.Replicas)
		}
		if got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}

func TestDecidedReasons(t *testing.T) {
	view, base := fleet()
	view.Evacuated["a"] = true
	for _, one := range Decide(PolicyWork, view, base) {
		want := ReasonEvacuation
		if one.Zone == "a" {
			want = ReasonBase
		}
		if one.Reason != want {
			t.Errorf("zone %s: reason %q, want %q", one.Zone, one.Reason, want)
		}
	}
}
