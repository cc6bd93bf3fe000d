package fleet

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

type handClock struct{ now time.Time }

func (c *handClock) Now() time.Time { return c.now }

func (c *handClock) AfterFunc(time.Duration, func()) environment.Timer { return nil }

func TestEarliestSignWinsAndIsNotUndone(t *testing.T) {
	const address = "127.0.0.1:1"
	list := func(id string, state environment.MachineState) func(*Table, *handClock) {
		return func(table *Table, _ *handClock) {
			table.SetMachines(map[string]environment.Machine{address: {ID: id, Address: address, State: state}})
		}
	}
	report := func(flags uint8) func(*Table, *handClock) {
		return func(table *Table, _ *handClock) {
			table.Report(wire.EngineLoad{Engine: "e", Flags: flags}, time.Second)
		}
	}
	unlisted := func(table *Table, _ *handClock) { table.SetMachines(nil) }
	silence := func(_ *Table, clock *handClock) { clock.now = clock.now.Add(3 * time.Second) }
	healthy := report(wire.EngineHealthy)
	cases := []struct {
		name     string
		steps    []func(*Table, *handClock)
		excluded bool
	}{
		{"unknown", nil, true},
		{"reported", []func(*Table, *handClock){healthy}, false},
		{"silent", []func(*Table, *handClock){healthy, silence}, true},
		{"heard again", []func(*Table, *handClock){healthy, silence, healthy}, false},
		{"unhealthy", []func(*Table, *handClock){healthy, report(0)}, true},
		{"draining", []func(*Table, *handClock){healthy, report(wire.EngineHealthy | wire.EngineDraining)}, true},
		{"listed as leaving", []func(*Table, *handClock){healthy, list("m1", environment.MachineLeaving)}, true},
		{"list flaps back", []func(*Table, *handClock){healthy, list("m1", environment.MachineLeaving), list("m1", environment.MachineLive), healthy}, true},
		{"another machine", []func(*Table, *handClock){healthy, list("m1", environment.MachineLeaving), list("m2", environment.MachineLive)}, false},
		{"gone from the list", []func(*Table, *handClock){healthy, list("m1", environment.MachineLive), unlisted}, true},
		{"back on the list by mistake", []func(*Table, *handClock){healthy, list("m1", environment.MachineLive), unlisted, list("m1", environment.MachineLive)}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			clock := &handClock{now: time.Unix(0, 0)}
			table := NewTable(clock)
			for _, step := range test.steps {
				step(table, clock)
			}
			if got := table.Excluded("e", address); got != test.excluded {
				t.Errorf("excluded %v", got)
			}
		})
	}
}
