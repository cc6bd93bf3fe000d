package replicastate

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

const (
	// loadingTimeout is how long a replica is believed to load weights.
	loadingTimeout = 4 * time.Second
	// MaxBlock bounds how long a replica that gives nothing gets no items.
	MaxBlock = time.Second
	// maxDoublings keeps the duration of a block from overflowing.
	maxDoublings = 8
)

// State is what this node has seen of a replica as a place for items.
type State struct {
	// Running is the number of items that this node runs there.
	Running int
	// BlockedUntil is when it may be tried again after it turned work away.
	BlockedUntil time.Time
	// Unproven is set from a run that broke off before its first event until the next
	// event.
	Unproven bool
	// Blocks is how often in a row it gave nothing when it was tried.
	Blocks int
	// Versions are the newest weight versions known, by model.
	Versions map[string]int64
	// LoadingSince is when a load of a model's weights was announced, by model.
	LoadingSince map[string]time.Time
	// Failures is the rate of its runs that it says have failed.
	Failures FailureRate
	// Pace is that of its runs as this node has seen it, the last time at ObservedAt.
	Pace       placement.Pace
	ObservedAt time.Time
}

// Block keeps items from the replica for a while, twice as long each time in a row that
// it is tried in vain, up to MaxBlock. Items turned away together count as one try.
func (s *State) Block(first time.Duration) {
	now := time.Now()
	if now.Before(s.BlockedUntil) {
		return
	}
	length := min(first<<min(s.Blocks, maxDoublings), MaxBlock)
	s.Blocks++
	s.BlockedUntil = now.Add(length)
}

// IsLoading tells whether the replica is changing a model's weights.
func (s *State) IsLoading(model string) bool {
	since, announced := s.LoadingSince[model]
	return announced && time.Since(since) < loadingTimeout
}

// ObserveVersion records a weight version of a model that the replica's answer names.
// A newer one than known ends the model's load.
func (s *State) ObserveVersion(model string, version int64) {
	if version > s.Versions[model] {
		s.Versions[model] = version
		delete(s.LoadingSince, model)
	}
}

// LearnVersion records a weight version of a model that the coordinator of weights
// announces, and that its load has ended.
func (s *State) LearnVersion(model string, version int64) {
	delete(s.LoadingSince, model)
	s.Versions[model] = max(s.Versions[model], version)
}

// LearnLoad records that the coordinator of weights has begun a load. Repeated
// announcements do not prolong it.
func (s *State) LearnLoad(model string, now time.Time) {
	if _, announced := s.LoadingSince[model]; !announced {
		s.LoadingSince[model] = now
	}
}

// Observe records the time between two events of a run there. A pace that nobody has
// seen for a while is learnt anew: the replica may have been slow then.
func (s *State) Observe(interval time.Duration, now time.Time) {
	if now.Sub(s.ObservedAt) > FreshPaceAge {
		s.Pace = placement.Pace{}
	}
	s.Pace.Observe(interval, s.Running)
	s.ObservedAt, s.Blocks, s.Unproven = now, 0, false
}

// announcedMicroseconds is the pace to announce to other nodes, 0 for none.
func (s *State) announcedMicroseconds(now time.Time) uint32 {
	if now.Sub(s.ObservedAt) > FreshPaceAge {
		return 0
	}
	return uint32(s.Pace.Interval().Microseconds())
}
