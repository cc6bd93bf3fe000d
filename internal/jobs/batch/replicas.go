package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// usesAge is for how long another node's uses of replicas are believed.
	usesAge = 1500 * time.Millisecond
	// loadingAge is for how long a replica is believed to load weights.
	loadingAge = 4 * time.Second
)

// replicaState is what this node has seen of a replica as a place for items.
type replicaState struct {
	// running counts the items that this node runs there.
	running int
	// blockedUntil is when it is worth trying again after it turned work away.
	blockedUntil time.Time
	// unproven is set from a run that broke off before its first event until the next
	// event.
	unproven bool
	// blocks counts how often in a row it gave nothing when it was tried.
	blocks   int
	versions map[string]int64
	// loadingSince is when a model's load was told, zero when none is.
	loadingSince map[string]time.Time
	// failures is how many of its runs it says have failed.
	failures failureRate
	// pace is that of its runs as this node has seen it, lastly at observed.
	pace     placement.Pace
	observed time.Time
}

// nodeUses are another node's uses of replicas.
type nodeUses struct {
	at      time.Time
	running map[string]int
	// intervals are the times between events that it has seen lately.
	intervals map[string]time.Duration
	// open is how many items of its jobs have no result yet, by model.
	open map[string]int
}

// replica returns the state of a replica. The mutex must be held.
func (s *Service) replica(id string) *replicaState {
	state := s.replicas[id]
	if state == nil {
		state = &replicaState{versions: map[string]int64{}, loadingSince: map[string]time.Time{}}
		s.replicas[id] = state
	}
	return state
}

// longestBlock bounds how long a replica that gives nothing is left alone.
const longestBlock = time.Second

// block leaves a replica alone for a while, twice as long each time in a row
// that it is tried in vain. Items turned away together count as one try.
func (r *replicaState) block(first time.Duration) {
	if time.Now().Before(r.blockedUntil) {
		return
	}
	span := min(first<<min(r.blocks, mostDoublings), longestBlock)
	r.blocks++
	r.blockedUntil = time.Now().Add(span)
}

// mostDoublings keeps the span of a block from overflowing.
const mostDoublings = 8

// version is the newest weight version known of a replica's model, 0 if none
// is. The mutex must be held.
func (s *Service) version(view *directory.View, id, model string) int64 {
	known := int64(0)
	if listed := view.Replicas[id]; listed != nil {
		known = listed.Versions[model]
	}
	if state := s.replicas[id]; state != nil {
		known = max(known, state.versions[model])
	}
	return known
}

// loading tells whether a replica is changing a model's weights. The mutex
// must be held.
func (r *replicaState) loading(model string) bool {
	since, told := r.loadingSince[model]
	return told && time.Since(since) < loadingAge
}

// load is how many items run at a replica from all nodes. The mutex must be
// held.
func (s *Service) load(id string) int {
	load := s.replica(id).running
	for _, uses := range s.uses {
		if time.Since(uses.at) < usesAge {
			load += uses.running[id]
		}
	}
	return load
}

// NoteVersion takes what a coordinator of weights knows of a replica.
func (s *Service) NoteVersion(change wire.ReplicaVersion) {
	s.mutex.Lock()
	state := s.replica(change.Replica)
	if change.Loading {
		if _, told := state.loadingSince[change.Model]; !told {
			state.loadingSince[change.Model] = time.Now()
		}
	} else {
		delete(state.loadingSince, change.Model)
		state.versions[change.Model] = max(state.versions[change.Model], change.Version)
	}
	s.mutex.Unlock()
	s.nudge()
}

// Uses fills in how many items this node runs at each replica.
func (s *Service) Uses() []wire.ReplicaUse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var uses []wire.ReplicaUse
	for id, state := range s.replicas {
		if state.running > 0 {
			uses = append(uses, wire.ReplicaUse{Replica: id, Running: uint32(state.running), IntervalUs: state.recentMicroseconds()})
		}
	}
	return uses
}

// Load is how many items run at a replica, for whoever orders it about.
func (s *Service) Load(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.load(id)
}

func routeOf(configuration *directory.Configuration, name string) *directory.Route {
	for i := range configuration.Routes {
		if configuration.Routes[i].Name == name {
			return &configuration.Routes[i]
		}
	}
	return nil
}
