package replicastate

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

const (
	// loadingTimeout is how long an announced load of weights is assumed to be in progress.
	loadingTimeout = 4 * time.Second
	// MaxBlock is the maximum duration of one block.
	MaxBlock = time.Second
	// maxDoublings limits the exponent of the backoff, to prevent an overflow.
	maxDoublings = 8
)

// State is this node's information about a replica that runs items.
type State struct {
	// Running is the number of items that this node runs at the replica.
	Running int
	// BlockedUntil is when the replica may get items again after a refusal, a run that broke
	// or stalled, or a response of another incarnation.
	BlockedUntil time.Time
	// Unresponsive is set when a run fails before its first event or stalls, and cleared by
	// the next event.
	Unresponsive bool
	// Blocks is the number of consecutive blocks.
	Blocks int
	// Versions holds the newest known weight versions by model.
	Versions map[string]int64
	// LoadingSince is when a load of a model's weights was announced, by model.
	LoadingSince map[string]time.Time
	// Failures is the rate of runs that the replica reports as failed.
	Failures FailureRate
	// Pace is the pace of this node's runs, and UsualPace their pace without short disturbances.
	Pace      placement.Pace
	UsualPace placement.UsualPace
	// announcedUsual is the usual interval that another node announced last, at announcedAt.
	announcedUsual time.Duration
	announcedAt    time.Time
	// ExpectedEvents is the number of events that the texts of this node's runs at the replica
	// are expected to have.
	ExpectedEvents int
	// ObservedAt is when the last event was observed.
	ObservedAt time.Time
}

// Block excludes the replica from getting items for a backoff time. The time starts at first,
// doubles with each consecutive block and is at most MaxBlock. Calls while the replica is
// blocked have no effect, so that items refused together count once.
func (s *State) Block(first time.Duration) {
	now := time.Now()
	if now.Before(s.BlockedUntil) {
		return
	}
	duration := min(first<<min(s.Blocks, maxDoublings), MaxBlock)
	s.Blocks++
	s.BlockedUntil = now.Add(duration)
}

// IsLoading reports whether the replica is loading weights of a model.
func (s *State) IsLoading(model string) bool {
	since, announced := s.LoadingSince[model]
	return announced && time.Since(since) < loadingTimeout
}

// ObserveVersion records the weight version of a model in a response of the replica. A newer
// version than the known one ends the load of the model.
func (s *State) ObserveVersion(model string, version int64) {
	if version > s.Versions[model] {
		s.Versions[model] = version
		delete(s.LoadingSince, model)
	}
}

// LearnVersion records that the weights coordinator has announced a weight version of a
// model, which ends the load of the model.
func (s *State) LearnVersion(model string, version int64) {
	delete(s.LoadingSince, model)
	s.Versions[model] = max(s.Versions[model], version)
}

// LearnLoad records that the weights coordinator has announced a load. Repeated announcements
// do not extend it.
func (s *State) LearnLoad(model string, now time.Time) {
	if _, announced := s.LoadingSince[model]; !announced {
		s.LoadingSince[model] = now
	}
}

// Observe records the time between two events of a run at the replica. It discards a pace
// that is older than FreshPaceAge, so that a replica that was slow is measured again.
func (s *State) Observe(interval time.Duration, now time.Time) {
	if now.Sub(s.ObservedAt) > FreshPaceAge {
		s.Pace = placement.Pace{}
		s.UsualPace.Resume()
	}
	s.Pace.Observe(interval, s.Running)
	s.UsualPace.Observe(interval, s.Running, s.Pace.Interval())
	s.ObservedAt, s.Blocks, s.Unresponsive = now, 0, false
}

// UsualInterval returns the time between events without short disturbances: that of this node's
// own runs, or else the one that another node announced. It is 0 if neither is known, or both
// are older than PaceRetention.
func (s *State) UsualInterval(now time.Time) time.Duration {
	return s.usualInterval(now, now.Sub(s.ObservedAt) < FreshPaceAge)
}

// undisturbedInterval returns UsualInterval as if the replica were not disturbed.
func (s *State) undisturbedInterval(now time.Time) time.Duration { return s.usualInterval(now, false) }

func (s *State) usualInterval(now time.Time, fresh bool) time.Duration {
	if own := s.UsualPace.Interval(fresh); own > 0 && now.Sub(s.ObservedAt) < PaceRetention {
		return own
	}
	if now.Sub(s.announcedAt) < PaceRetention {
		return s.announcedUsual
	}
	return 0
}

// interval returns Table.Interval given the interval that another node announces, 0 for none.
func (s *State) interval(now time.Time, announced time.Duration) time.Duration {
	age := now.Sub(s.ObservedAt)
	own := s.Pace.Interval()
	switch {
	case own > 0 && age < FreshPaceAge:
		return own
	case announced > 0:
		return announced
	case age < PaceRetention:
		return own
	}
	return 0
}

// IsDisturbed reports whether this node's runs at the replica are slower than usual.
func (s *State) IsDisturbed(now time.Time) bool {
	return now.Sub(s.ObservedAt) < FreshPaceAge && s.UsualPace.IsSlowed()
}

// announcedMicroseconds returns the interval to announce to other nodes in microseconds, 0
// for none.
func (s *State) announcedMicroseconds(now time.Time) uint32 {
	if now.Sub(s.ObservedAt) > FreshPaceAge {
		return 0
	}
	return uint32(s.Pace.Interval().Microseconds())
}

// announcedUsualMicroseconds returns the usual interval of this node's own runs in microseconds,
// 0 if unknown.
func (s *State) announcedUsualMicroseconds(now time.Time) uint32 {
	if now.Sub(s.ObservedAt) > FreshPaceAge {
		return 0
	}
	return uint32(s.UsualPace.Interval(false).Microseconds())
}
