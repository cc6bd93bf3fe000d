package batch

import (
	"context"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// heartbeatInterval is the time between heartbeats of a node that runs jobs.
	heartbeatInterval = 300 * time.Millisecond
	// idleHeartbeats is the number of heartbeats sent after the last job has ended, so
	// that all nodes learn of its end.
	idleHeartbeats = 3
)

// FillHeartbeat adds this node's jobs, and what it knows from running them, to its
// heartbeat.
func (s *Service) FillHeartbeat(heartbeat *wire.NodeBeat) {
	heartbeat.Uses = s.SlotUse()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.open() {
			heartbeat.Jobs = append(heartbeat.Jobs, id)
		}
	}
	slices.Sort(heartbeat.Jobs)
	waiting, now := s.scheduler.waitingItems(), time.Now()
	s.metrics.trainerLag.Reset()
	for _, id := range heartbeat.Jobs {
		held := s.jobs[id]
		work := s.workOf(held)
		s.describeStep(&work, held, waiting[held], now)
		heartbeat.Work = append(heartbeat.Work, work)
	}
	heartbeat.Leaving = s.leaving
	heartbeat.Tolerances = s.tolerances.Announced()
	heartbeat.Lengths = s.lengths.Announced(time.Now())
	heartbeat.Ended = s.ends.Announced(time.Now())
}

// ReceiveHeartbeat applies another node's heartbeat.
func (s *Service) ReceiveHeartbeat(heartbeat *wire.NodeBeat) {
	s.mutex.Lock()
	s.replicas.LearnSlotUse(heartbeat, time.Now())
	s.ownerWatchWake.set()
	for _, announced := range heartbeat.Tolerances {
		s.tolerances.Limit(announced.Model, announced.Versions)
	}
	s.lengths.Learn(heartbeat.Lengths, time.Now())
	for _, work := range heartbeat.Work {
		s.demand.Learn(work, time.Now())
	}
	s.learnSteps(heartbeat, time.Now())
	contested := s.learnRunningJobs(heartbeat)
	s.learnOrigins(heartbeat.Work)
	contested = append(contested, s.learnEnds(heartbeat)...)
	s.mutex.Unlock()
	for _, version := range heartbeat.Versions {
		s.LearnVersion(version)
	}
	for _, held := range contested {
		go s.confirmOwner(held)
	}
	s.WakeScheduler()
}

// learnRunningJobs records which jobs a heartbeat's sender runs. It returns this node's
// jobs that the sender may own instead. The mutex must be held.
func (s *Service) learnRunningJobs(heartbeat *wire.NodeBeat) []*job {
	var contested []*job
	owner := jobstore.Owner{Node: heartbeat.Node, Address: heartbeat.Address, Incarnation: heartbeat.Incarnation}
	epochs := epochsOf(heartbeat)
	for _, id := range heartbeat.Jobs {
		if held := s.jobs[id]; held != nil {
			if !heartbeat.Leaving && !ownership.IsEarlierEpoch(epochs[id], held.record.Epoch) {
				held.markUnconfirmed()
				contested = append(contested, held)
			}
			continue
		}
		if remote := s.learnRemote(id, owner, epochs[id], false); remote.owner == owner {
			remote.lastHeartbeat, remote.leaving = time.Now(), heartbeat.Leaving
		}
	}
	return contested
}

// learnOrigins records the tenants and origins of other nodes' jobs. The mutex must be
// held.
func (s *Service) learnOrigins(works []wire.JobWork) {
	for _, work := range works {
		if remote := s.remoteJobs[work.Job]; remote != nil {
			remote.tenant, remote.tenantKnown = work.Tenant, true
			if len(work.Routes) > 0 {
				remote.learnOrigin(origin{routes: work.Routes, tenant: work.Tenant, entryRegion: work.Entry})
			}
		}
	}
}

// learnEnds applies the ends that a heartbeat announces. It returns this node's jobs
// among them whose end is not known to be stored. The mutex must be held.
func (s *Service) learnEnds(heartbeat *wire.NodeBeat) []*job {
	var contested []*job
	for _, id := range heartbeat.Ended {
		s.logEndDuringTakeover(id, heartbeat.Node)
		if held := s.jobs[id]; held != nil && !held.endStored {
			// The node that ended the job regarded another node as its owner.
			held.markUnconfirmed()
			contested = append(contested, held)
		}
		s.applyEnd(id)
	}
	return contested
}

// epochsOf returns the epochs that a heartbeat names, by job.
func epochsOf(heartbeat *wire.NodeBeat) map[string]int {
	epochs := make(map[string]int, len(heartbeat.Work))
	for _, work := range heartbeat.Work {
		epochs[work.Job] = int(work.Epoch)
	}
	return epochs
}

// logEndDuringTakeover logs the end of a job that this node is taking over and has not
// started yet. The mutex must be held.
func (s *Service) logEndDuringTakeover(id, from string) {
	remote := s.remoteJobs[id]
	if s.jobs[id] != nil || remote == nil || !remote.takingOver || remote.ended {
		return
	}
	s.config.Logger.Info("batch job ended during its takeover", "request", id, "from", from)
}

// applyEnd stops a job that has ended, and keeps it from being started if this node is
// about to. The mutex must be held.
func (s *Service) applyEnd(id string) {
	s.ends.Learn(id, time.Now())
	if remote := s.remoteJobs[id]; remote != nil {
		remote.ended = true
	}
	held := s.jobs[id]
	if held == nil || held.ended {
		return
	}
	held.ended, held.endedAt = true, time.Now()
	s.recordLengths(held)
	s.logLateness(held)
	held.cancel()
	s.scheduler.dequeue(held)
	held.notify()
	s.config.Logger.Info("batch job ended", "request", id, "listed", len(held.listed), "items", len(held.items),
		"chunks", held.chunks, "appending", !held.appendingSince.IsZero())
}

// sendHeartbeats sends heartbeats while this node runs jobs or has ends to announce, and
// otherwise waits until it does: most nodes of a large deployment never run a job.
func (s *Service) sendHeartbeats(ctx context.Context) {
	idleCount := 0
	for {
		if idleCount > idleHeartbeats {
			if !s.heartbeatWake.wait(ctx) {
				return
			}
		} else if !objectstore.Sleep(ctx, heartbeatInterval) {
			return
		}
		if s.OpenJobCount() > 0 || s.hasEndsToAnnounce() {
			idleCount = 0
		} else {
			idleCount++
		}
		if idleCount <= idleHeartbeats {
			s.config.PeerTable.SendHeartbeat()
		}
	}
}

// hasEndsToAnnounce reports whether there is a recent end to announce.
func (s *Service) hasEndsToAnnounce() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ends.Announced(time.Now())) > 0
}
