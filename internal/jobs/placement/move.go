package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxMovesPerScan is how many runs, those that gain most, are considered for a move in
	// one scan.
	maxMovesPerScan = 8
	// minMoveGain is the time that a move must be expected to save: a move costs reading
	// the text so far and the event in progress.
	minMoveGain = 250 * time.Millisecond
	// minMoveRatio is how many times faster the other replica must be; smaller differences
	// come and go with the load.
	minMoveRatio = 1.2
	// minLateMoveRatio and minLateMoveGain are the bounds for a run that would end after
	// its job's deadline where it is.
	minLateMoveRatio = 1.1
	minLateMoveGain  = 300 * time.Millisecond
	// minMovedEvents is how many events a run must have made before it may move: the first
	// ones say little about a replica's pace.
	minMovedEvents = 2
)

// Move is the decision to continue a run at another replica.
type Move struct {
	Run *Run
	// Gain is the time that the move is expected to save.
	Gain time.Duration
	// Reason is why the move is worth its cost.
	Reason Reason
}

// Moves decides which runs continue at a faster replica: those that gain most, as long as
// such replicas have room. It adds each of them to the load of its new replica.
func Moves(paces Paces, runs []*Run) []Move {
	var wanted, decided []Move
	for _, run := range runs {
		if run.Events < minMovedEvents {
			continue
		}
		if move, target := paces.bestMove(run); target != nil {
			wanted = append(wanted, move)
		}
	}
	slices.SortStableFunc(wanted, func(a, b Move) int { return cmp.Compare(b.Gain, a.Gain) })
	for _, next := range wanted[:min(len(wanted), maxMovesPerScan)] {
		// The moves before it have taken room, so its target may be another one now.
		move, target := paces.bestMove(next.Run)
		if target == nil {
			continue
		}
		target.Load++
		decided = append(decided, move)
	}
	return decided
}

// bestMove returns a run's move to the replica that it would be given now, and that
// replica; nil if there is none or the move is not worth its cost.
func (p Paces) bestMove(run *Run) (Move, *Replica) {
	target := Pick(run.Replicas, run.preference())
	if target == nil {
		return Move{}, nil
	}
	move, worthwhile := p.moveTo(run, target.Name)
	if !worthwhile {
		return Move{}, nil
	}
	return move, target
}

// moveTo returns a run's move to another replica, and whether it is worth its cost. It is
// not where the pace of either replica is unknown.
func (p Paces) moveTo(run *Run, target string) (Move, bool) {
	here, there := p.intervals[run.Replica], p.expectedAt(target)
	if here == 0 || there == 0 {
		return Move{}, false
	}
	gain := run.remainingTime(here) - run.remainingTime(there)
	ratio := float64(here) / float64(there)
	switch {
	case ratio >= minMoveRatio && gain > minMoveGain:
		return Move{Run: run, Gain: gain, Reason: ReasonFaster}, true
	case ratio >= minLateMoveRatio && gain > minLateMoveGain && !run.endsInTime(here, 0):
		return Move{Run: run, Gain: gain, Reason: ReasonLate}, true
	}
	return Move{}, false
}
