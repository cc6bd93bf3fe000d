package replicastate

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// FreshPaceAge is how long this node's own pace of a replica takes precedence over those
	// that other nodes announce.
	FreshPaceAge = 3 * time.Second
	// PaceRetention is how long this node's own pace is used if no other node announces one.
	// It is long because differences between replicas mostly come from their machines.
	PaceRetention = 60 * time.Second
)

// Table is this node's information about all replicas. It is not safe for concurrent use.
type Table struct {
	// States holds the states of the replicas by name.
	States map[string]*State
	// SlotUse holds the slot use of the other nodes by node.
	SlotUse map[string]NodeSlotUse
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{States: map[string]*State{}, SlotUse: map[string]NodeSlotUse{}} }

// GetOrCreate returns the state of a replica. It creates the state if there is none.
func (t *Table) GetOrCreate(replica string) *State {
	state := t.States[replica]
	if state == nil {
		state = &State{Versions: map[string]int64{}, LoadingSince: map[string]time.Time{}}
		t.States[replica] = state
	}
	return state
}

// LearnSlotUse records the slot use in a heartbeat of another node.
func (t *Table) LearnSlotUse(heartbeat *wire.NodeBeat, now time.Time) {
	t.SlotUse[heartbeat.Node] = slotUseFrom(heartbeat, now)
	for _, use := range heartbeat.Uses {
		if use.UsualIntervalUs > 0 {
			state := t.GetOrCreate(use.Replica)
			state.announcedUsual, state.announcedAt = time.Duration(use.UsualIntervalUs)*time.Microsecond, now
		}
	}
}

// Announced returns the slot use of this node for its heartbeats.
func (t *Table) Announced(now time.Time) []wire.ReplicaUse {
	var slotUse []wire.ReplicaUse
	for replica, state := range t.States {
		if state.Running > 0 {
			slotUse = append(slotUse, wire.ReplicaUse{
				Replica: replica, Running: uint32(state.Running), IntervalUs: state.announcedMicroseconds(now),
				UsualIntervalUs: state.announcedUsualMicroseconds(now), ExpectedEvents: uint32(max(0, state.ExpectedEvents)),
			})
		}
	}
	return slotUse
}

// Version returns the newest known weight version of a model at a replica, 0 if unknown.
// listed is the replica in the directory, or nil.
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

// Load returns the number of items that a replica runs for all nodes.
func (t *Table) Load(replica string, now time.Time) int {
	load := t.GetOrCreate(replica).Running
	for _, slotUse := range t.SlotUse {
		if slotUse.isCurrent(now) {
			load += slotUse.Running[replica]
		}
	}
	return load
}

// Loads returns the number of items that each replica runs for all nodes.
func (t *Table) Loads(now time.Time) map[string]int {
	loads := make(map[string]int, len(t.States))
	for replica, state := range t.States {
		loads[replica] = state.Running
	}
	for _, slotUse := range t.SlotUse {
		if slotUse.isCurrent(now) {
			for replica, running := range slotUse.Running {
				loads[replica] += running
			}
		}
	}
	return loads
}

// OpenItems returns the number of items of the given models without a result at the other
// nodes.
func (t *Table) OpenItems(models []string, now time.Time) int {
	open := 0
	for _, slotUse := range t.SlotUse {
		if !slotUse.isCurrent(now) {
			continue
		}
		for _, model := range models {
			open += slotUse.Open[model]
		}
	}
	return open
}

// RunningNodes returns the number of nodes that run items. It always counts this node.
func (t *Table) RunningNodes(now time.Time) int {
	count := 1
	for _, slotUse := range t.SlotUse {
		if len(slotUse.Running) > 0 && slotUse.isCurrent(now) {
			count++
		}
	}
	return count
}

// Paces returns the currently known paces.
func (t *Table) Paces() placement.Paces {
	now := time.Now()
	intervals, announced := map[string]time.Duration{}, t.announcedIntervals(now)
	for replica, state := range t.States {
		if interval := state.interval(now, announced[replica]); interval > 0 {
			intervals[replica] = interval
		}
	}
	usual, disturbed := t.usualIntervals()
	return placement.NewPaces(intervals).WithUsual(usual, disturbed)
}

// usualIntervals returns the known intervals without short disturbances by replica, and the
// replicas that are slower than that at the moment.
func (t *Table) usualIntervals() (map[string]time.Duration, map[string]bool) {
	usual, disturbed := map[string]time.Duration{}, map[string]bool{}
	now := time.Now()
	for replica, state := range t.States {
		if interval := state.UsualInterval(now); interval > 0 {
			usual[replica] = interval
		}
		if state.IsDisturbed(now) {
			disturbed[replica] = true
		}
	}
	return usual, disturbed
}

// UsualIntervals returns the known intervals without any disturbance by replica.
func (t *Table) UsualIntervals(now time.Time) map[string]time.Duration {
	usual := map[string]time.Duration{}
	for replica, state := range t.States {
		if interval := state.undisturbedInterval(now); interval > 0 {
			usual[replica] = interval
		}
	}
	return usual
}

// ExpectedEvents returns, by replica, the number of events that the texts of all nodes' runs
// there are expected to have.
func (t *Table) ExpectedEvents(now time.Time) map[string]int {
	expected := make(map[string]int, len(t.States))
	for replica, state := range t.States {
		expected[replica] = state.ExpectedEvents
	}
	for _, slotUse := range t.SlotUse {
		if slotUse.isCurrent(now) {
			for replica, events := range slotUse.ExpectedEvents {
				expected[replica] += events
			}
		}
	}
	return expected
}

// Interval returns the time between events at a replica, 0 if unknown: this node's own
// average if it is fresh, else that of another node, else this node's own for up to
// PaceRetention.
func (t *Table) Interval(replica string, state *State) time.Duration {
	now := time.Now()
	return state.interval(now, t.announcedIntervals(now)[replica])
}

// announcedIntervals returns the intervals that other nodes announce, by replica. With 300 nodes
// and 600 replicas, this is far less work than looking for each replica at each node.
func (t *Table) announcedIntervals(now time.Time) map[string]time.Duration {
	announced := map[string]time.Duration{}
	for _, slotUse := range t.SlotUse {
		if slotUse.isCurrent(now) {
			maps.Copy(announced, slotUse.Intervals)
		}
	}
	return announced
}

// Evict removes replicas that are not listed, unless this node runs items at them, and the
// expired slot use of other nodes.
func (t *Table) Evict(listed map[string]*directory.Replica, now time.Time) {
	maps.DeleteFunc(t.States, func(replica string, state *State) bool { return listed[replica] == nil && state.Running == 0 })
	maps.DeleteFunc(t.SlotUse, func(_ string, slotUse NodeSlotUse) bool { return now.Sub(slotUse.ReceivedAt) > SlotUseTimeout })
}
