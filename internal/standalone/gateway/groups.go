package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
)

// groupState holds this node's admission gate and retry budget of one traffic
// group. It is kept across snapshots.
type groupState struct {
	gate    *admission.Gate
	retries *admission.RetryBudget
}

// groupStates maps traffic groups to their state. Lookups take no lock, except
// that the first one with a new snapshot applies its limits under mutex.
type groupStates struct {
	current  atomic.Pointer[map[string]*groupState]
	applied  atomic.Pointer[engineplan.Snapshot]
	mutex    sync.Mutex
	stopping bool
}

func newGroupStates() *groupStates {
	states := &groupStates{}
	states.current.Store(&map[string]*groupState{})
	return states
}

func (g *groupStates) get(snapshot *engineplan.Snapshot, name string) *groupState {
	if g.applied.Load() != snapshot {
		g.apply(snapshot)
	}
	return (*g.current.Load())[name]
}

func (g *groupStates) apply(snapshot *engineplan.Snapshot) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	existing := *g.current.Load()
	next := make(map[string]*groupState, len(snapshot.Groups))
	for name, plan := range snapshot.Groups {
		spec := plan.Limit.Spec
		bounds := admission.Bounds{RequestsPerSecond: spec.RequestsPerSecond, Burst: spec.Burst, MaxInFlight: spec.MaxInFlight, MaxQueue: spec.MaxQueue}
		state := existing[name]
		if state == nil {
			state = &groupState{gate: admission.NewGate(bounds), retries: admission.NewRetryBudget(spec.RetryBudgetPercent)}
		}
		state.gate.SetBounds(bounds)
		state.retries.SetPercent(spec.RetryBudgetPercent)
		if g.stopping {
			state.gate.Stop()
		}
		next[name] = state
	}
	g.current.Store(&next)
	g.applied.Store(snapshot)
}

// stop makes the gates of all groups, current and future, refuse requests.
func (g *groupStates) stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
	for _, state := range *g.current.Load() {
		state.gate.Stop()
	}
}
