package replicastate

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// FreshPaceAge is how long a replica's pace as this node has seen it is preferred to
	// what others have seen.
	FreshPaceAge = 3 * time.Second
	// PaceRetention is how long it is believed where nobody has seen the replica since:
	// most differences are those of the machines.
	PaceRetention = 60 * time.Second
)

// Table is what a node knows of all replicas. It has no lock: its caller guards it.
type Table struct {
	// States are what this node has seen, by replica.
	States map[string]*State
	// Uses are those of the other nodes, by node.
	Uses map[string]NodeUses
}

// NewTable returns a table that knows nothing.
func NewTable() *Table { return &Table{States: map[string]*State{}, Uses: map[string]NodeUses{}} }

// Get returns the state of a replica, and makes one if there is none.
func (t *Table) Get(replica string) *State {
	state := t.States[replica]
	if state == nil {
		state = &State{Versions: map[string]int64{}, LoadingSince: map[string]time.Time{}}
		t.States[replica] = state
	}
	return state
}

// LearnUses records the uses that another node's heartbeat announces.
func (t *Table) LearnUses(heartbeat *wire.NodeBeat, now time.Time) {
	t.Uses[heartbeat.Node] = usesFrom(heartbeat, now)
}

// Announced are the uses of this node, for its heartbeats.
func (t *Table) Announced(now time.Time) []wire.ReplicaUse {
	var uses []wire.ReplicaUse
	for replica, state := range t.States {
		if state.Running > 0 {
			uses = append(uses, wire.ReplicaUse{Replica: replica, Running: uint32(state.Running), IntervalUs: state.announcedMicroseconds(now)})
		}
	}
	return uses
}

// Version is the newest weight version known of a replica's model, 0 for none. Listed is
// the replica's entry in the directory, nil for none.
func (t *Table) Version(listed *directory.Replica, replica, model string) int64 {
	known := int64(0)
	if listed != nil {
		known = listed.Versions[model]
	}
	if state := t.States[replica]; state != nil {
		known = max(known, state.Versions[model])
	}
	return known
}

// Load is how many items run at a replica, from all nodes.
func (t *Table) Load(replica string, now time.Time) int {
	load := t.Get(replica).Running
	for _, uses := range t.Uses {
		if uses.isCurrent(now) {
			load += uses.Running[replica]
		}
	}
	return load
}

// Loads is how many items run at each replica, from all nodes.
func (t *Table) Loads(now time.Time) map[string]int {
	loads := make(map[string]int, len(t.States))
	for replica, state := range t.States {
		loads[replica] = state.Running
	}
	for _, uses := range t.Uses {
		if uses.isCurrent(now) {
			for replica, running := range uses.Running {
				loads[replica] += running
			}
		}
	}
	return loads
}

// OpenItems is how many items of models have no result yet at the other nodes.
func (t *Table) OpenItems(models []string, now time.Time) int {
	open := 0
	for _, uses := range t.Uses {
		if !uses.isCurrent(now) {
			continue
		}
		for _, model := range models {
			open += uses.Open[model]
		}
	}
	return open
}

// RunningNodes is how many nodes run items, this one included.
func (t *Table) RunningNodes(now time.Time) int {
	count := 1
	for _, uses := range t.Uses {
		if len(uses.Running) > 0 && uses.isCurrent(now) {
			count++
		}
	}
	return count
}

// Paces returns the paces known now.
func (t *Table) Paces() placement.Paces {
	intervals := map[string]time.Duration{}
	for replica, state := range t.States {
		if interval := t.Interval(replica, state); interval > 0 {
			intervals[replica] = interval
		}
	}
	return placement.NewPaces(intervals)
}

// Interval is the time between events at a replica, 0 for unknown: as this node has seen
// it recently, else as others have, else as this node saw it last.
func (t *Table) Interval(replica string, state *State) time.Duration {
	now := time.Now()
	age := now.Sub(state.ObservedAt)
	own := state.Pace.Interval()
	if own > 0 && age < FreshPaceAge {
		return own
	}
	for _, uses := range t.Uses {
		if interval := uses.Intervals[replica]; interval > 0 && uses.isCurrent(now) {
			return interval
		}
	}
	if age < PaceRetention {
		return own
	}
	return 0
}

// Evict forgets replicas that are gone, unless this node runs items there, and nodes
// that are silent.
func (t *Table) Evict(listed map[string]*directory.Replica, now time.Time) {
	maps.DeleteFunc(t.States, func(replica string, state *State) bool { return listed[replica] == nil && state.Running == 0 })
	maps.DeleteFunc(t.Uses, func(_ string, uses NodeUses) bool { return now.Sub(uses.ReceivedAt) > UsesTimeout })
}
