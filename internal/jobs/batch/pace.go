package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// paceAge is for how long a replica's pace as this node has seen it is
	// believed before what others have seen.
	paceAge = 3 * time.Second
	// paceMemory is for how long it is believed where nobody has seen it since:
	// most differences are those of the machines.
	paceMemory = 60 * time.Second
)

// paces returns the paces known now. The mutex must be held.
func (s *Service) paces() placement.Paces {
	intervals := map[string]time.Duration{}
	for id, state := range s.replicas {
		if interval := s.interval(id, state); interval > 0 {
			intervals[id] = interval
		}
	}
	return placement.NewPaces(intervals)
}

// interval is the time between events at a replica: as this node has seen it
// lately, else as others have, else as this node saw it last. The mutex must be
// held.
func (s *Service) interval(id string, state *replicaState) time.Duration {
	age := time.Since(state.observed)
	own := state.pace.Interval()
	if own > 0 && age < paceAge {
		return own
	}
	for _, uses := range s.uses {
		if interval := uses.intervals[id]; interval > 0 && time.Since(uses.at) < usesAge {
			return interval
		}
	}
	if age < paceMemory {
		return own
	}
	return 0
}

// observe takes the time between two events of a run there. A pace that nobody has
// seen for a while is learnt anew: the replica may have been slow then.
func (r *replicaState) observe(interval time.Duration, now time.Time) {
	if now.Sub(r.observed) > paceAge {
		r.pace = placement.Pace{}
	}
	r.pace.Observe(interval, r.running)
	r.observed, r.blocks, r.unproven = now, 0, false
}

// recentMicroseconds is the pace to be told to other nodes, 0 for none.
func (r *replicaState) recentMicroseconds() uint32 {
	if time.Since(r.observed) > paceAge {
		return 0
	}
	return uint32(r.pace.Interval().Microseconds())
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
