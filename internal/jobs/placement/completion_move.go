package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCompletionGain is the minimum expected time saved by a move of a run that would be
	// late, and minPlausibleGain that of one that may be late, if its text is as long as is
	// plausible.
	minCompletionGain = 300 * time.Millisecond
	minPlausibleGain  = 500 * time.Millisecond
	// lastMoveMargin is how long before the last moment a run moves that may be late. It covers
	// the time between scans.
	lastMoveMargin = 300 * time.Millisecond
	// beginTimeout is the time without a first event after which a run goes elsewhere, if there
	// is a free slot. A first event usually takes some tens of milliseconds; a later one means
	// that several nodes have placed more runs at the replica than it has slots.
	beginTimeout = 150 * time.Millisecond
	// maxBeginDoublings limits the exponent of beginTimeout. The result exceeds the time after
	// which a run without events is stalled.
	maxBeginDoublings = 6
	// minSwapGain is the minimum expected time that a long run gains at the slot that a shorter
	// run gives up. It is several times moveCost, because a swap costs two moves.
	minSwapGain = time.Second
	// maxSwapsPerScan is the maximum number of runs that give up their slots to longer ones in one
	// scan.
	maxSwapsPerScan = 4
)

// MovesByCompletion decides which runs of jobs that depend on the speed of replicas continue
// elsewhere: those that would be late where they run, or that could be late and have no later
// moment to move; those that wait at their replica while another one has a free slot; and short
// runs that give up a fast slot to a long one, which moves there in the next scan. It adds each
// moved run to the load of its new replica.
func MovesByCompletion(paces Paces, runs []*Run) []Move {
	var candidates, moves []Move
	for _, run := range runs {
		if run.Reserve {
			continue
		}
		if move, target := paces.completionMove(run); target != nil {
			candidates = append(candidates, move)
		}
	}
	slices.SortStableFunc(candidates, func(a, b Move) int { return cmp.Compare(b.Gain, a.Gain) })
	for _, candidate := range candidates[:min(len(candidates), maxMovesPerScan)] {
		// Earlier moves have taken slots, so the target may have changed.
		move, target := paces.completionMove(candidate.Run)
		if target == nil {
			continue
		}
		target.Add(candidate.Run.Work)
		moves = append(moves, move)
	}
	return append(moves, paces.swaps(runs, moves)...)
}

// completionMove returns the move of a run to the replica where it would end first, and that
// replica. The replica is nil if the move is not worth its cost.
func (p Paces) completionMove(run *Run) (Move, *Replica) {
	if run.Events < minMovedEvents {
		return p.unstartedMove(run)
	}
	current := p.UsualAt(run.Replica)
	if current == 0 || !p.needsFasterReplica(run.Work, current) {
		return Move{}, nil
	}
	// A run that moves is placed at a fast replica, because it will not move again.
	preference := run.preference()
	preference.Fastest = true
	target := PickByCompletion(p, run.Replicas, run.Work, preference)
	if target == nil || p.isLastResort(target) || p.speedClass(p.UsualAt(target.Name)) >= p.speedClass(current) {
		return Move{}, nil
	}
	saved := current - p.UsualAt(target.Name)
	gain := time.Duration(run.Work.Remaining)*saved - moveCost
	switch {
	case run.Work.runTime(current) > run.Work.TimeLeft && gain > minCompletionGain:
		return Move{Run: run, Gain: gain, Reason: ReasonLate}, target
	case p.isLastMove(run.Work, target) && time.Duration(run.Work.MaxRemaining)*saved-moveCost > minPlausibleGain:
		return Move{Run: run, Gain: gain, Reason: ReasonLate}, target
	}
	return Move{}, nil
}

// unstartedMove returns the move of a run that waits in the queue of its replica to one with a
// free slot. The timeout doubles with each such move of the item, so that it begins even where
// first events take longer than beginTimeout everywhere.
func (p Paces) unstartedMove(run *Run) (Move, *Replica) {
	if run.Events > 0 || run.Idle < beginTimeout<<min(run.NotBegun, maxBeginDoublings) || run.Loading {
		return Move{}, nil
	}
	target := PickByCompletion(p, run.Replicas, run.Work, run.preference())
	if target == nil || target.Name == run.Replica || p.isLastResort(target) {
		return Move{}, nil
	}
	return Move{Run: run, Gain: run.Idle, Reason: ReasonNotBegun}, target
}

// swaps decides which runs at fast replicas give up their slots to long runs at slower ones, for
// which there is no free slot. moved are the runs that move anyway. It adds each run that gives up
// its slot to the load of the slower replica with a free slot, so that no two of them count on the
// same one.
func (p Paces) swaps(runs []*Run, moved []Move) []Move {
	var swaps []Move
	taken := map[*Run]bool{}
	for _, move := range moved {
		taken[move.Run] = true
	}
	longRuns := p.runsForFastSlots(runs, taken)
	if len(longRuns) == 0 {
		return nil
	}
	replaceable := p.replaceableRuns(runs)
	for _, long := range longRuns {
		if len(swaps) == maxSwapsPerScan {
			break
		}
		if shorter, target := p.shorterRun(long, replaceable, taken); shorter != nil {
			taken[long], taken[shorter] = true, true
			target.Add(shorter.Work)
			swaps = append(swaps, Move{Run: shorter, Reason: ReasonSwapped})
		}
	}
	return swaps
}

// runsForFastSlots returns the runs that would be late where they run and gain enough at a fast
// replica, those with the largest gains first.
func (p Paces) runsForFastSlots(runs []*Run, taken map[*Run]bool) []*Run {
	var long []*Run
	for _, run := range runs {
		if !taken[run] && p.isLateAtSlowReplica(run) && p.fastSlotGain(run) > minSwapGain {
			long = append(long, run)
		}
	}
	slices.SortStableFunc(long, func(a, b *Run) int { return cmp.Compare(p.fastSlotGain(b), p.fastSlotGain(a)) })
	return long
}

// isLateAtSlowReplica reports whether a run that its trainer waits for would be late at a replica
// of a slower class.
func (p Paces) isLateAtSlowReplica(run *Run) bool {
	current := p.UsualAt(run.Replica)
	return !run.Reserve && run.Events >= minMovedEvents && p.speedClass(current) > 0 && run.Work.runTime(current) > run.Work.TimeLeft
}

// fastSlotGain returns the expected time that a run gains by a move to a fast replica.
func (p Paces) fastSlotGain(run *Run) time.Duration {
	return time.Duration(run.Work.Remaining)*(p.UsualAt(run.Replica)-p.fastQuarter) - moveCost
}

// replaceableRuns returns the runs at fast replicas that may run at a slower one with a free slot,
// those with the least remaining work first. An item gives up its slot once, so that it doesn't
// alternate between replicas if its text proves longer than expected.
func (p Paces) replaceableRuns(runs []*Run) []*Run {
	replaceable := []*Run{}
	for _, run := range runs {
		if !run.Swapped && run.Events >= minMovedEvents && p.speedClass(p.UsualAt(run.Replica)) == 0 && p.slowerReplica(run) != nil {
			replaceable = append(replaceable, run)
		}
	}
	slices.SortStableFunc(replaceable, func(a, b *Run) int { return cmp.Compare(a.Work.Remaining, b.Work.Remaining) })
	return replaceable
}

// shorterRun returns the first of the replaceable runs whose slot a long run may use, and the
// slower replica for it. Both are nil if there is none. It marks runs for which there is no longer
// a free slot as taken, so that they are not tried for other long runs.
func (p Paces) shorterRun(long *Run, replaceable []*Run, taken map[*Run]bool) (*Run, *Replica) {
	for _, candidate := range replaceable {
		if taken[candidate] || !p.mayMoveTo(long, candidate.Replica) {
			continue
		}
		if target := p.slowerReplica(candidate); target != nil {
			return candidate, target
		}
		taken[candidate] = true
	}
	return nil, nil
}

// slowerReplica returns the slower replica with a free slot at which a run may continue, nil if
// there is none.
func (p Paces) slowerReplica(run *Run) *Replica {
	target := PickByCompletion(p, run.Replicas, run.Work, run.preference())
	if target == nil || p.isLastResort(target) {
		return nil
	}
	if interval := p.UsualAt(target.Name); p.speedClass(interval) == 0 || !p.mayUse(run.Work, interval) {
		return nil
	}
	return target
}

// mayMoveTo reports whether a run may move to a replica once it has a free slot.
func (p Paces) mayMoveTo(run *Run, replica string) bool {
	return !slices.Contains(run.FailedReplicas, replica) && slices.ContainsFunc(run.Replicas, func(candidate *Replica) bool {
		return candidate.Name == replica && !p.isLastResort(candidate)
	})
}

// isLastResort reports whether a replica is used only if no other has a free slot.
func (p Paces) isLastResort(candidate *Replica) bool {
	return candidate.failing || candidate.unresponsive || p.disturbed[candidate.Name]
}

// needsFasterReplica reports whether the work may plausibly end after the job's deadline.
func (p Paces) needsFasterReplica(work Work, interval time.Duration) bool {
	return work.maxRunTime(interval) > work.TimeLeft
}

// isLastMove reports whether there is no later moment at which a run could move to a replica and
// be in time, should its text be as long as is plausible.
func (p Paces) isLastMove(work Work, target *Replica) bool {
	return work.TimeLeft-moveCost-work.maxRunTime(p.UsualAt(target.Name)) < lastMoveMargin
}
