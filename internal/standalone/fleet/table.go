package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// silentPeriods is how many reporting periods an engine may miss before it
// gets no new work.
const silentPeriods = 2.5

// Table is one node's view of the engines. It belongs to one goroutine.
type Table struct {
	clock   environment.Clock
	engines map[string]*record
	// leaving holds, by address, the machine id that the list called leaving
	// or dropped.
	leaving  map[string]string
	machines map[string]environment.Machine
}

type record struct {
	load     wire.EngineLoad
	received time.Time
	period   time.Duration
}

// NewTable returns a table that knows no engine.
func NewTable(clock environment.Clock) *Table {
	return &Table{clock: clock, engines: map[string]*record{}, leaving: map[string]string{}, machines: map[string]environment.Machine{}}
}

// Report takes in a load that will be followed by another within a period.
// The last to arrive wins: the clocks of two reporters
// cannot be compared.
func (t *Table) Report(load wire.EngineLoad, period time.Duration) {
	t.engines[load.Engine] = &record{load: load, received: t.clock.Now(), period: period}
}

// SetMachines takes in a machine list. A machine once seen as leaving, or
// gone from the list after it was on it, stays so until another id has its
// address.
func (t *Table) SetMachines(machines map[string]environment.Machine) {
	for address, machine := range machines {
		if machine.State == environment.MachineLeaving {
			t.leaving[address] = machine.ID
		}
	}
	for address, machine := range t.machines {
		if _, listed := machines[address]; !listed {
			t.leaving[address] = machine.ID
		}
	}
	for address, id := range t.leaving {
		machine, listed := machines[address]
		if listed && machine.ID != id && machine.State == environment.MachineLive {
			delete(t.leaving, address)
		}
	}
	t.machines = maps.Clone(machines)
}

// Load returns the newest report of an engine.
func (t *Table) Load(engine string) (wire.EngineLoad, bool) {
	held := t.engines[engine]
	if held == nil {
		return wire.EngineLoad{}, false
	}
	return held.load, true
}

// Excluded tells whether an engine shall get no new work.
func (t *Table) Excluded(engine, address string) bool {
	if _, leaving := t.leaving[address]; leaving {
		return true
	}
	held := t.engines[engine]
	if held == nil || t.clock.Now().Sub(held.received) > time.Duration(silentPeriods*float64(held.period)) {
		return true
	}
	return held.load.Flags&wire.EngineHealthy == 0 || held.load.Flags&wire.EngineDraining != 0
}

// Forget drops engines that are no longer declared.
func (t *Table) Forget(declared map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		if !declared[name] {
			delete(t.engines, name)
		}
	}
}
