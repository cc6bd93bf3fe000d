package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// maxMissedPeriods is how many reporting periods may pass without a report before
// an engine gets no new work.
const maxMissedPeriods = 2.5

// Table is one node's view of the engines. It is not safe for
// concurrent use.
type Table struct {
	clock   environment.Clock
	engines map[string]*engineState
	// leaving holds, by address, the machine id that the list marked as leaving
	// or no longer contains.
	leaving  map[string]string
	machines map[string]environment.Machine
}

type engineState struct {
	load     wire.EngineLoad
	received time.Time
	period   time.Duration
}

// NewTable returns an empty table.
func NewTable(clock environment.Clock) *Table {
	return &Table{clock: clock, engines: map[string]*engineState{}, leaving: map[string]string{}, machines: map[string]environment.Machine{}}
}

// RecordLoad records the load of an engine; the next is expected within period.
// The last report to arrive wins, since the clocks of two reporters cannot be
// compared.
func (t *Table) RecordLoad(load wire.EngineLoad, period time.Duration) {
	t.engines[load.Engine] = &engineState{load: load, received: t.clock.Now(), period: period}
}

// SetMachines replaces the machine list. A machine that was listed as leaving or
// was removed from the list counts as leaving until a live machine with another
// id has its address.
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

// Load returns the last load reported for an engine.
func (t *Table) Load(engine string) (wire.EngineLoad, bool) {
	state := t.engines[engine]
	if state == nil {
		return wire.EngineLoad{}, false
	}
	return state.load, true
}

// Excluded reports whether an engine must not get new work.
func (t *Table) Excluded(engine, address string) bool {
	if _, leaving := t.leaving[address]; leaving {
		return true
	}
	state := t.engines[engine]
	if state == nil || t.clock.Now().Sub(state.received) > time.Duration(maxMissedPeriods*float64(state.period)) {
		return true
	}
	return state.load.Flags&wire.EngineHealthy == 0 || state.load.Flags&wire.EngineDraining != 0
}

// Retain removes engines that are not in declared.
func (t *Table) Retain(declared map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(t.engines)) {
		if !declared[name] {
			delete(t.engines, name)
		}
	}
}
