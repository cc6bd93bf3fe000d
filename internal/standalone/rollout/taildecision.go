package rollout

import "time"

const (
	// tailShare is the part of a step that counts as its tail.
	tailShare = 0.15
	// moveGain is how much less loaded, as a part of its slots, another engine
	// must be for a move.
	moveGain = 0.35
	// maxMoves bounds the moves of one attempt.
	maxMoves = 2
	// raceFactor times the median duration is the age at which a second
	// attempt may start, and raceShare the part of a step that may be left
	// then.
	raceFactor = 6
	raceShare  = 0.02
	// overloaded is the load of an engine, as a part of its slots, beyond which
	// requests wait there.
	overloaded = 1
)

// tailView is what is known of a running sample late in its step.
type tailView struct {
	// remaining and total count the step's samples unfinished and in all.
	remaining int
	total     int
	// elapsed is the age of the attempt, median the duration of finished ones.
	elapsed time.Duration
	median  time.Duration
	// load is that of the sample's engine as a part of its slots, quietest that
	// of the least loaded other engine.
	load     float64
	quietest float64
	// attempts is how many attempts of the sample are running, and moves how
	// often this one has been moved.
	attempts int
	moves    int
}

// tailAction is what to do about a sample of the tail.
type tailAction int

// The actions about a sample of the tail: none, moving it to the quietest
// engine, or a second attempt there.
const (
	tailNone tailAction = iota
	tailMove
	tailRace
)

// decideTail returns what to do about a running sample late in its step.
func decideTail(view tailView) tailAction {
	share := float64(view.remaining) / float64(view.total)
	if share > tailShare || view.attempts != 1 {
		return tailNone
	}
	if view.load-view.quietest > moveGain && view.moves < maxMoves {
		return tailMove
	}
	late := view.median > 0 && view.elapsed > raceFactor*view.median
	if share <= raceShare && late && view.load > overloaded {
		return tailRace
	}
	return tailNone
}
