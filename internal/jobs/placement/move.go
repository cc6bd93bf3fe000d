package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxMovesPerScan is the maximum number of runs, those with the largest gains, that are
	// considered for a move in one scan.
	maxMovesPerScan = 8
	// minMoveGain is the minimum expected time saved by a move. A move costs the prefill of
	// the text so far and the event in progress.
	minMoveGain = 250 * time.Millisecond
	// minMoveRatio is how many times faster the other replica must be. Smaller differences
	// are within the normal variation under load.
	minMoveRatio = 1.2
	// minLateMoveRatio and minLateMoveGain apply instead to a run that would end after its
	// job's deadline if it stays.
	minLateMoveRatio = 1.1
	minLateMoveGain  = 300 * time.Millisecond
	// minMovedEvents is the number of events that a run must have before it may move. The
	// first events say little about the pace of a replica.
	minMovedEvents = 2
)

// Move is the decision to continue a run at another replica.
type Move struct {
	Run *Run
	// Gain is the expected time saved by the move.
	Gain   time.Duration
	Reason Reason
}

// Moves decides which runs continue at a faster replica: those with the largest gains, as
// long as the faster replicas have free slots. It adds each moved run to the load of its new
// replica.
func Moves(paces Paces, runs []*Run) []Move {
	var candidates, moves []Move
	for _, run := range runs {
		if run.Events < minMovedEvents {
			continue
		}
		if move, target := paces.bestMove(run); target != nil {
			candidates = append(candidates, move)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Move) int { return cmp.Compare(b.Gain, a.Gain) })
	for _, candidate := range candidates[:min(len(candidates), maxMovesPerScan)] {
		// Earlier moves have taken slots, so the target may have changed.
		move, target := paces.bestMove(candidate.Run)
		if target == nil {
			continue
		}
		target.Load++
		moves = append(moves, move)
	}
	return moves
}

// bestMove returns the move of a run to the replica that Pick would choose for it, and that
// replica. The replica is nil if there is none or the move is not worth its cost.
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

// moveTo returns the move of a run to a target replica, and whether it is worth its cost. A
// move is not worth its cost if the pace of either replica is unknown.
func (p Paces) moveTo(run *Run, target string) (Move, bool) {
	currentInterval, targetInterval := p.intervals[run.Replica], p.expectedAt(target)
	if currentInterval == 0 || targetInterval == 0 {
		return Move{}, false
	}
	gain := run.remainingTime(currentInterval) - run.remainingTime(targetInterval)
	ratio := float64(currentInterval) / float64(targetInterval)
	switch {
	case ratio >= minMoveRatio && gain > minMoveGain:
		return Move{Run: run, Gain: gain, Reason: ReasonFaster}, true
	case ratio >= minLateMoveRatio && gain > minLateMoveGain && !run.endsInTime(currentInterval, 0):
		return Move{Run: run, Gain: gain, Reason: ReasonLate}, true
	}
	return Move{}, false
}
