package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ownerLook is the time between looks at the owners.
const ownerLook = 150 * time.Millisecond

// watchOwners takes over the jobs whose owners have fallen silent. While no job is known
// it waits for one.
func (s *Service) watchOwners(ctx context.Context) {
	pauses := newPauseDetector(s.config.Clock)
	for objectstore.Sleep(ctx, ownerLook) {
		stoodStill := pauses.look()
		if stoodStill > 0 {
			s.config.Logger.Info("process stood still", "forMs", stoodStill.Milliseconds(), "limitMs", pauseLimit.Milliseconds())
		}
		s.evict()
		for _, held := range s.unconfirmed(stoodStill > 0) {
			go s.confirmOwner(held)
		}
		for id, lost := range s.orphans() {
			go s.takeOver(ctx, id, lost)
		}
		if s.knowsNoJob() {
			// The watchers of a job hear of it together, and so does its owner look at it;
			// they need not all ask the store at the same moments.
			if !s.toWatch.wait(ctx) || !objectstore.Sleep(ctx, rand.N(ownerLook)) {
				return
			}
			pauses = newPauseDetector(s.config.Clock)
		}
	}
}

// knowsNoJob tells whether there is no job to watch or to forget, here or elsewhere.
func (s *Service) knowsNoJob() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.jobs) == 0 && len(s.known) == 0 && len(s.replicas.Uses) == 0 && s.ends.Len() == 0 && s.lengths.Len() == 0 && s.demand.Len() == 0
}

const (
	// confirmPeriod is how often the record of an open job is looked up. An owner to
	// which an end was not told finds it there; with the time that a look may take it
	// does so within the three seconds that platforms give for the last item.
	confirmPeriod = 1500 * time.Millisecond
	// confirmRetry is the time between looks while none has been answered.
	confirmRetry = 300 * time.Millisecond
)

// unconfirmed returns the jobs whose ownership has to be looked up. After a
// pause no job is answered for before that.
func (s *Service) unconfirmed(paused bool) []*job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []*job
	for _, held := range s.jobs {
		if paused && !held.allListed() {
			held.doubt()
		}
		if !held.suspect && (!held.mayBeLost() || time.Since(held.confirmedAt) < confirmPeriod) {
			continue
		}
		if time.Since(held.lookedAt) < confirmRetry {
			continue
		}
		held.lookedAt = time.Now()
		due = append(due, held)
	}
	return due
}

// orphan is a job that this node is to take over.
type orphan struct {
	// owner is the one that is gone.
	owner journal.Owner
	// probeOwner tells that it is to be asked first.
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
	for id, remote := range s.known {
		if s.jobs[id] != nil {
			// It runs here: a reader looked it up just before this node took it up.
			delete(s.known, id)
			continue
		}
		decision := ownership.Decide(s.remoteView(id, remote), time.Now())
		if decision.TakeOver {
			remote.taking = true
			orphans[id] = orphan{owner: remote.owner, probeOwner: decision.ProbeOwner}
		}
	}
	return orphans
}

// remoteView is a job of another node as decisions about takeovers see it. The mutex must
// be held.
func (s *Service) remoteView(id string, remote *remoteJob) ownership.RemoteJob {
	return ownership.RemoteJob{
		Ended: remote.ended, TakingOver: remote.taking, RetryAt: remote.notBefore, LastHeartbeat: remote.heard,
		Owner: s.conditionOf(remote), Rank: func() int { return s.cachedRank(id, remote) },
	}
}
