package fleet

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) AfterFunc(time.Duration, func()) environment.Timer { return nil }

// TestExcluded guards against new work for an engine that is leaving, also when
// a later machine list shows its machine as live again.
func TestExcluded(t *testing.T) {
	const address = "127.0.0.1:1"
	list := func(id string, state environment.MachineState) func(*Table, *fakeClock) {
		return func(table *Table, _ *fakeClock) {
			table.SetMachines(map[string]environment.Machine{address: {ID: id, Address: address, State: state}})
		}
	}
	report := func(flags uint8) func(*Table, *fakeClock) {
		return func(table *Table, _ *fakeClock) {
			table.RecordLoad(wire.EngineLoad{Engine: "e", Flags: flags}, time.Second)
		}
	}
	unlisted := func(table *Table, _ *fakeClock) { table.SetMachines(nil) }
	missReports := func(_ *Table, clock *fakeClock) { clock.now = clock.now.Add(3 * time.Second) }
	healthy := report(wire.EngineHealthy)
	cases := []struct {
		name     string
		steps    []func(*Table, *fakeClock)
		excluded bool
	}{
		{"unknown", nil, true},
		{"reported", []func(*Table, *fakeClock){healthy}, false},
		{"no reports", []func(*Table, *fakeClock){healthy, missReports}, true},
		{"reports resume", []func(*Table, *fakeClock){healthy, missReports, healthy}, false},
		{"unhealthy", []func(*Table, *fakeClock){healthy, report(0)}, true},
		{"draining", []func(*Table, *fakeClock){healthy, report(wire.EngineHealthy | wire.EngineDraining)}, true},
		{"listed as leaving", []func(*Table, *fakeClock){healthy, list("m1", environment.MachineLeaving)}, true},
		{"listed as live again", []func(*Table, *fakeClock){healthy, list("m1", environment.MachineLeaving), list("m1", environment.MachineLive), healthy}, true},
		{"replaced by another machine", []func(*Table, *fakeClock){healthy, list("m1", environment.MachineLeaving), list("m2", environment.MachineLive)}, false},
		{"removed from the list", []func(*Table, *fakeClock){healthy, list("m1", environment.MachineLive), unlisted}, true},
		{"same machine listed again", []func(*Table, *fakeClock){healthy, list("m1", environment.MachineLive), unlisted, list("m1", environment.MachineLive)}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			clock := &fakeClock{now: time.Unix(0, 0)}
			table := NewTable(clock)
			for _, step := range test.steps {
				step(table, clock)
			}
			if got := table.Excluded("e", address); got != test.excluded {
				t.Errorf("wrong result: excluded = %v", got)
			}
		})
	}
}
