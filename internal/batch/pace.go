package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// paceAge is for how long a replica's pace as this node has seen it is
	// believed before what others have seen.
	paceAge = 3 * time.Second
	// paceMemory is for how long it is believed where nobody has seen it since:
	// most differences are those of the machines.
	paceMemory = 60 * time.Second
	// leastPaced is how many replicas must have a pace for one to be slow.
	leastPaced = 3
	// slowRatio is from how many times the usual interval between events a
	// replica counts as slow, and leastInterval below which none does.
	slowRatio     = 1.7
	leastInterval = 10 * time.Millisecond
)

// paces are the times between events of a run at each replica where they are
// known.
type paces struct {
	intervals map[string]time.Duration
	// usual is the median, and least the shortest; zero if too few are known.
	usual time.Duration
	least time.Duration
}

// paces returns the paces known now. The mutex must be held.
func (s *Service) paces() paces {
	known := paces{intervals: map[string]time.Duration{}}
	var sorted []time.Duration
	for id, state := range s.replicas {
		if interval := s.interval(id, state); interval > 0 {
			known.intervals[id] = interval
			sorted = append(sorted, interval)
		}
	}
	if len(sorted) < leastPaced {
		return known
	}
	slices.Sort(sorted)
	known.usual, known.least = max(sorted[(len(sorted)-1)/2], leastInterval), max(sorted[0], leastInterval)
	return known
}

// interval is the time between events at a replica: as this node has seen it
// lately, else as others have, else as this node saw it last. The mutex must be
// held.
func (s *Service) interval(id string, state *replicaState) time.Duration {
	age := time.Since(state.observed)
	if state.interval > 0 && age < paceAge {
		return state.interval
	}
	for _, uses := range s.uses {
		if interval := uses.intervals[id]; interval > 0 && time.Since(uses.at) < usesAge {
			return interval
		}
	}
	if age < paceMemory {
		return state.interval
	}
	return 0
}

// slow tells whether a replica's events come much more slowly than the usual.
func (p paces) slow(id string) bool {
	return p.usual > 0 && float64(p.intervals[id]) > slowRatio*float64(p.usual)
}

// excess is how much longer a replica's events take than the fastest's, as a
// part of these; 0 where it is not known.
func (p paces) excess(id string) float64 {
	if p.least == 0 || p.intervals[id] <= p.least {
		return 0
	}
	return float64(p.intervals[id])/float64(p.least) - 1
}

// recentMicroseconds is the pace to be told to other nodes, 0 for none.
func (r *replicaState) recentMicroseconds() uint32 {
	if time.Since(r.observed) > paceAge {
		return 0
	}
	return uint32(r.interval.Microseconds())
}

// usesOf reads what a heartbeat tells of replicas.
func usesOf(beat *wire.NodeBeat) nodeUses {
	uses := nodeUses{at: time.Now(), running: map[string]int{}, intervals: map[string]time.Duration{}, open: map[string]int{}}
	for _, work := range beat.Work {
		uses.open[work.Model] += int(work.Open)
	}
	for _, use := range beat.Uses {
		uses.running[use.Replica] = int(use.Running)
		if use.IntervalUs > 0 {
			uses.intervals[use.Replica] = time.Duration(use.IntervalUs) * time.Microsecond
		}
	}
	return uses
}
