package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// movesPerLook bounds how many runs are moved to faster replicas at once.
	maxMovesPerScan = 8
	// moveGain is the least time that a move must be expected to save: it costs the
	// reading of the text so far and the event under way.
	minMoveGain = 250 * time.Millisecond
	// moveRatio is how many times faster the other replica must be at the least:
	// smaller differences come and go with the load.
	minMoveRatio = 1.2
	// lateMoveRatio and lateGain are the same for a text that is late where it runs.
	minLateMoveRatio = 1.1
	minLateMoveGain  = 300 * time.Millisecond
	// movedEvents is how many events a run must have made before it is moved: the
	// first ones tell little of a replica's pace.
	minMovedEvents = 2
)

// Move is a run that would end sooner at another replica.
type Move struct {
	Run *Run
	// Gain is the time that it is expected to save.
	Gain time.Duration
	// Reason is why it is worth it.
	Reason Reason
}

// Moves returns the runs that gain most by going on at a faster replica, as long as
// such replicas have room, and counts them there.
func Moves(paces Paces, runs []*Run) []Move {
	var wanted, decided []Move
	for _, run := range runs {
		if run.Events < minMovedEvents {
			continue
		}
		best := Pick(run.Replicas, run.preference())
		if best == nil {
			continue
		}
		if move, pays := paces.moveTo(run, best.Name); pays {
			wanted = append(wanted, move)
		}
	}
	slices.SortStableFunc(wanted, func(a, b Move) int { return cmp.Compare(b.Gain, a.Gain) })
	for count, next := range wanted {
		target := Pick(next.Run.Replicas, next.Run.preference())
		if count >= maxMovesPerScan {
			return decided
		}
		if target == nil {
			continue
		}
		if move, pays := paces.moveTo(next.Run, target.Name); pays {
			target.Load++
			decided = append(decided, move)
		}
	}
	return decided
}

// moveTo is a run's move to another replica, and whether it is worth it.
func (p Paces) moveTo(run *Run, target string) (Move, bool) {
	here, there := p.intervals[run.Replica], p.at(target)
	if here == 0 || there == 0 {
		return Move{}, false
	}
	gain := run.restAt(here) - run.restAt(there)
	ratio := float64(here) / float64(there)
	switch {
	case ratio >= minMoveRatio && gain > minMoveGain:
		return Move{Run: run, Gain: gain, Reason: ReasonFaster}, true
	case ratio >= minLateMoveRatio && gain > minLateMoveGain && !run.endsInTime(here, 0):
		return Move{Run: run, Gain: gain, Reason: ReasonLate}, true
	}
	return Move{}, false
}
