package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ownerCheckInterval is the time between checks of the owners of jobs.
const ownerCheckInterval = 150 * time.Millisecond

// watchOwners takes over jobs whose owners send no heartbeats. While no job is known, it
// waits for one.
func (s *Service) watchOwners(ctx context.Context) {
	pauses := newPauseDetector(s.config.Clock)
	for objectstore.Sleep(ctx, ownerCheckInterval) {
		pause := pauses.check()
		if pause > 0 {
			s.config.Logger.Info("process was paused", "forMs", pause.Milliseconds(), "limitMs", pauseThreshold.Milliseconds())
		}
		s.evict()
		for _, held := range s.dueRecordChecks(pause > 0) {
			go s.confirmOwner(held)
		}
		for id, orphaned := range s.orphans() {
			go s.takeOver(ctx, id, orphaned)
		}
		if s.hasNothingToWatch() {
			// All watchers of a job learn of it at the same time. A random delay spreads
			// their reads of the store.
			if !s.ownerWatchWake.wait(ctx) || !objectstore.Sleep(ctx, rand.N(ownerCheckInterval)) {
				return
			}
			pauses = newPauseDetector(s.config.Clock)
		}
	}
}

// hasNothingToWatch reports whether there is nothing to watch or evict.
func (s *Service) hasNothingToWatch() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.jobs) == 0 && len(s.remoteJobs) == 0 && len(s.replicas.SlotUse) == 0 && s.ends.Len() == 0 && s.lengths.Len() == 0 && s.demand.Len() == 0
}

const (
	// recordCheckInterval is the time between reads of the record of an open job, by
	// which an owner finds an end that was not announced to it. Platforms allow three
	// seconds from the end of a job to the end of its last run.
	recordCheckInterval = 1500 * time.Millisecond
	// recordCheckRetry is the time between reads while none succeeds.
	recordCheckRetry = 300 * time.Millisecond
)

// dueRecordChecks returns the jobs whose records are to be read now to confirm their
// owner. After a pause of this process, no incomplete job is served from memory before
// that.
func (s *Service) dueRecordChecks(paused bool) []*job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []*job
	for _, held := range s.jobs {
		if paused && !held.allListed() {
			held.markUnconfirmed()
		}
		if !held.unconfirmed && (!held.mayBeTakenOver() || time.Since(held.confirmedAt) < recordCheckInterval) {
			continue
		}
		if time.Since(held.lastReadAt) < recordCheckRetry {
			continue
		}
		held.lastReadAt = time.Now()
		due = append(due, held)
	}
	return due
}

// orphan is a job that this node is to take over.
type orphan struct {
	// owner is the silent owner.
	owner jobstore.Owner
	// probeOwner reports that the owner is to be asked first.
	probeOwner bool
}

// orphans returns the jobs that this node is to take over now, by id.
func (s *Service) orphans() map[string]orphan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil
	}
	orphans := map[string]orphan{}
	for id, remote := range s.remoteJobs {
		if s.jobs[id] != nil {
			// A reader recorded the job's former owner just before the job was started
			// here.
			delete(s.remoteJobs, id)
			continue
		}
		decision := ownership.Decide(s.remoteView(id, remote), time.Now())
		if decision.TakeOver {
			remote.takingOver = true
			orphans[id] = orphan{owner: remote.owner, probeOwner: decision.ProbeOwner}
		}
	}
	return orphans
}

// remoteView returns what takeover decisions need to know of another node's job. The
// mutex must be held.
func (s *Service) remoteView(id string, remote *remoteJob) ownership.RemoteJob {
	return ownership.RemoteJob{
		Ended: remote.ended, TakingOver: remote.takingOver, RetryAt: remote.retryAt, LastHeartbeat: remote.lastHeartbeat,
		Owner: s.ownerCondition(remote), Rank: func() int { return s.cachedRank(id, remote) },
	}
}
