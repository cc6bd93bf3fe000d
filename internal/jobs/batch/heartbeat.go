package batch

import (
	"context"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// beatPeriod is the time between heartbeats of a node that runs jobs.
	beatPeriod = 300 * time.Millisecond
	// idleBeats is how many beats go out after the last job has closed, so
	// that all have heard of its end.
	idleBeats = 3
)

// FillHeartbeat adds what this node runs to its heartbeat.
func (s *Service) FillHeartbeat(beat *wire.NodeBeat) {
	beat.Uses = s.Uses()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.open() {
			beat.Jobs = append(beat.Jobs, id)
		}
	}
	slices.Sort(beat.Jobs)
	for _, id := range beat.Jobs {
		beat.Work = append(beat.Work, s.workOf(s.jobs[id]))
	}
	beat.Leaving = s.leaving
	beat.Tolerances = s.tolerances.Announced()
	beat.Lengths = s.lengths.Announced(time.Now())
	beat.Ended = s.ends.toTell()
}

// ReceiveHeartbeat takes another node's heartbeat.
func (s *Service) ReceiveHeartbeat(beat *wire.NodeBeat) {
	s.mutex.Lock()
	s.uses[beat.Node] = usesOf(beat)
	s.toWatch.set()
	for _, told := range beat.Tolerances {
		s.tolerances.Limit(told.Model, told.Versions)
	}
	s.lengths.Learn(beat.Lengths, time.Now())
	for _, work := range beat.Work {
		s.demand.Learn(work, time.Now())
	}
	contested := s.takeRunning(beat)
	s.takeOrigins(beat.Work)
	contested = append(contested, s.takeEnded(beat)...)
	s.mutex.Unlock()
	for _, version := range beat.Versions {
		s.NoteVersion(version)
	}
	for _, held := range contested {
		go s.confirmOwner(held)
	}
	s.nudge()
}

// takeRunning notes which jobs a heartbeat's sender runs, and returns those of this
// node's that it may own instead. The mutex must be held.
func (s *Service) takeRunning(beat *wire.NodeBeat) []*job {
	var contested []*job
	owner := journal.Owner{Node: beat.Node, Address: beat.Address, Incarnation: beat.Incarnation}
	epochs := epochsOf(beat)
	for _, id := range beat.Jobs {
		if held := s.jobs[id]; held != nil {
			if !beat.Leaving && !isEarlier(epochs[id], held.record.Epoch) {
				held.doubt()
				contested = append(contested, held)
			}
			continue
		}
		if standing := s.noteRemote(id, owner, epochs[id], false); standing.owner == owner {
			standing.heard, standing.leaving = time.Now(), beat.Leaving
		}
	}
	return contested
}

// takeOrigins notes whose the jobs of other nodes are and where they come from. The
// mutex must be held.
func (s *Service) takeOrigins(works []wire.JobWork) {
	for _, work := range works {
		if standing := s.known[work.Job]; standing != nil {
			standing.tenant, standing.tenantKnown = work.Tenant, true
			if len(work.Routes) > 0 {
				standing.noteOrigin(origin{routes: work.Routes, tenant: work.Tenant, entry: work.Entry})
			}
		}
	}
}

// takeEnded ends the jobs that a heartbeat says have ended, and returns those of this
// node's whose ends it has not kept itself. The mutex must be held.
func (s *Service) takeEnded(beat *wire.NodeBeat) []*job {
	var contested []*job
	for _, id := range beat.Ended {
		s.logUnheldEnd(id, beat.Node)
		if held := s.jobs[id]; held != nil && !held.endKept {
			// Whoever ended it took another node for the owner.
			held.doubt()
			contested = append(contested, held)
		}
		s.endLocally(id)
	}
	return contested
}

// epochsOf are the epochs in which a heartbeat's sender runs its jobs, where it tells
// them.
func epochsOf(beat *wire.NodeBeat) map[string]int {
	epochs := make(map[string]int, len(beat.Work))
	for _, work := range beat.Work {
		epochs[work.Job] = int(work.Epoch)
	}
	return epochs
}

// logUnheldEnd logs the end of a job that this node is taking over: there is no
// job yet that it could stop. The mutex must be held.
func (s *Service) logUnheldEnd(id, from string) {
	standing := s.known[id]
	if s.jobs[id] != nil || standing == nil || !standing.taking || standing.ended {
		return
	}
	s.config.Logger.Info("end heard of while the batch job is taken over", "request", id, "from", from)
}

// endLocally stops a job that its caller has ended, and keeps one that this node is
// about to take up from being started. The mutex must be held.
func (s *Service) endLocally(id string) {
	s.ends.learn(id)
	if standing := s.known[id]; standing != nil {
		standing.ended = true
	}
	held := s.jobs[id]
	if held == nil || held.ended {
		return
	}
	held.ended, held.endedAt = true, time.Now()
	s.recordLengths(held)
	s.logLateness(held)
	held.cancel()
	s.dropQueued(held)
	held.notify()
	s.config.Logger.Info("batch job ended", "request", id, "listed", len(held.listed), "items", len(held.items),
		"chunks", held.chunks, "appending", !held.appendingSince.IsZero())
}

// beat sends heartbeats while this node has something to tell, and waits for that
// otherwise: most nodes of a large deployment never run a job.
func (s *Service) beat(ctx context.Context) {
	quiet := 0
	for {
		if quiet > idleBeats {
			if !s.toTell.wait(ctx) {
				return
			}
		} else if !objectstore.Sleep(ctx, beatPeriod) {
			return
		}
		if s.OpenJobs() > 0 || s.tellsEnds() {
			quiet = 0
		} else {
			quiet++
		}
		if quiet <= idleBeats {
			s.config.Table.Heartbeat()
		}
	}
}

// tellsEnds tells whether an end of late is to be told to the other nodes.
func (s *Service) tellsEnds() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ends.toTell()) > 0
}
