package batch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// movesPerLook bounds how many runs are moved to faster replicas at once.
	movesPerLook = 8
	// moveGain is the least time that a move must be expected to save: it costs
	// the reading of the text so far and the event under way.
	moveGain = 250 * time.Millisecond
	// moveRatio is how many times faster the other replica must be at the least:
	// smaller differences come and go with the load.
	moveRatio = 1.2
	// movedEvents is how many events a run must have made before it is moved:
	// the first ones tell little of a replica's pace.
	movedEvents = 2
	// remainingShare is the part of what an item has made so far that it is
	// expected to make yet where its length is not known: of long texts, those
	// that have come far go on for long.
	remainingShare = 0.6
)

// move is a run that would end sooner at a faster replica.
type move struct {
	running *attempt
	gain    time.Duration
}

// moveToFaster cuts the runs that gain most by going on at a faster replica, as
// long as such replicas have free slots. The mutex must be held.
func (s *Service) moveToFaster(placement *placement) {
	var moves []move
	for running := range s.attempts {
		if running.events.Load() < movedEvents {
			continue
		}
		best := placement.pick(running.item)
		if best == nil {
			continue
		}
		if gain := s.gain(placement.paces, running, best.endpoint.Name); gain > moveGain {
			moves = append(moves, move{running: running, gain: gain})
		}
	}
	slices.SortFunc(moves, func(a, b move) int { return cmp.Compare(b.gain, a.gain) })
	for count, next := range moves {
		target := placement.pick(next.running.item)
		if count >= movesPerLook || target == nil {
			return
		}
		if s.gain(placement.paces, next.running, target.endpoint.Name) > moveGain {
			target.load++
			next.running.cut(ErrMoved)
		}
	}
}

// gain is the time that a run is expected to save at another replica.
func (s *Service) gain(known paces, running *attempt, target string) time.Duration {
	here, there := known.intervals[running.endpoint.Name], known.intervals[target]
	if there == 0 {
		there = known.usual
	}
	if float64(here) < moveRatio*float64(there) {
		return 0
	}
	return time.Duration(running.item.remaining()) * (here - there)
}

// remaining is how many events an item is expected to make yet. The service's
// mutex must be held.
func (i *item) remaining() int {
	seen := i.seen()
	if i.expected > seen {
		return i.expected - seen
	}
	return int(remainingShare * float64(seen))
}
