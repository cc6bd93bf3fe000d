package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// movesPerLook bounds how many runs are moved to faster replicas at once.
	movesPerLook = 8
	// moveGain is the least time that a move must be expected to save: it costs the
	// reading of the text so far and the event under way.
	moveGain = 250 * time.Millisecond
	// moveRatio is how many times faster the other replica must be at the least:
	// smaller differences come and go with the load.
	moveRatio = 1.2
	// movedEvents is how many events a run must have made before it is moved: the
	// first ones tell little of a replica's pace.
	movedEvents = 2
)

// Move is a run that would end sooner at another replica.
type Move struct {
	Run *Run
	// Gain is the time that it is expected to save.
	Gain time.Duration
}

// Moves returns the runs that gain most by going on at a faster replica, as long as
// such replicas have room, and counts them there.
func Moves(paces Paces, runs []*Run) []Move {
	var wanted, decided []Move
	for _, run := range runs {
		if run.Events < movedEvents {
			continue
		}
		best := Pick(run.Replicas, run.FailedAt)
		if best == nil {
			continue
		}
		if gain := paces.gain(run, best.Name); gain > moveGain {
			wanted = append(wanted, Move{Run: run, Gain: gain})
		}
	}
	slices.SortStableFunc(wanted, func(a, b Move) int { return cmp.Compare(b.Gain, a.Gain) })
	for count, next := range wanted {
		target := Pick(next.Run.Replicas, next.Run.FailedAt)
		if count >= movesPerLook || target == nil {
			return decided
		}
		if paces.gain(next.Run, target.Name) > moveGain {
			target.Load++
			decided = append(decided, next)
		}
	}
	return decided
}

// gain is the time that a run is expected to save at another replica.
func (p Paces) gain(run *Run, target string) time.Duration {
	here, there := p.intervals[run.Replica], p.intervals[target]
	if there == 0 {
		there = p.usual
	}
	if float64(here) < moveRatio*float64(there) {
		return 0
	}
	return time.Duration(run.Rest) * (here - there)
}
