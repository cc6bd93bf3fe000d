package rollout

import "time"

const (
	// tailShare is the fraction of a step's samples that counts as its tail.
	tailShare = 0.15
	// minMoveLoadGap is how much lower the load of another engine must be for
	// a move, as a fraction of its slots.
	minMoveLoadGap = 0.35
	// maxMoves bounds the moves of one attempt.
	maxMoves = 2
	// hedgeAgeFactor is the age, in median durations, above which an attempt
	// may be hedged with a second one; hedgeShare is the greatest fraction of
	// unfinished samples at which that is allowed.
	hedgeAgeFactor = 6
	hedgeShare     = 0.02
	// overloadedShare is the load, as a fraction of an engine's slots, above
	// which requests queue there.
	overloadedShare = 1
)

// tailSample describes a running sample late in its step.
type tailSample struct {
	// remaining is the number of unfinished samples of the step, total that of
	// all.
	remaining int
	total     int
	// elapsed is the age of the attempt, median the median duration of
	// finished attempts.
	elapsed time.Duration
	median  time.Duration
	// load is the load of the sample's engine and leastLoad that of the least
	// loaded other engine, each as a fraction of its slots.
	load      float64
	leastLoad float64
	// attempts is the number of running attempts of the sample, moves how
	// often this attempt has been moved.
	attempts int
	moves    int
}

// tailAction is the action to take for a sample of the tail.
type tailAction int

// The actions: none, a move to the least loaded engine, or a second attempt
// (hedge) there.
const (
	tailNone tailAction = iota
	tailMove
	tailHedge
)

// decideTail returns the action for a running sample late in its step.
func decideTail(sample tailSample) tailAction {
	share := float64(sample.remaining) / float64(sample.total)
	if share > tailShare || sample.attempts != 1 {
		return tailNone
	}
	if sample.load-sample.leastLoad > minMoveLoadGap && sample.moves < maxMoves {
		return tailMove
	}
	late := sample.median > 0 && sample.elapsed > hedgeAgeFactor*sample.median
	if share <= hedgeShare && late && sample.load > overloadedShare {
		return tailHedge
	}
	return tailNone
}
