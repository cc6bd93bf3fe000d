package batch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
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
		for id, gone := range s.orphans() {
			go s.takeOver(ctx, id, gone)
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
	return len(s.jobs) == 0 && len(s.known) == 0 && len(s.uses) == 0 && len(s.ends.learnt) == 0 && s.lengths.Len() == 0 && s.demand.Len() == 0
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

// orphans returns the open jobs that it is this node's turn to take over, with
// the owners that are gone.
func (s *Service) orphans() map[string]journal.Owner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil
	}
	orphans := map[string]journal.Owner{}
	for id, standing := range s.known {
		if s.jobs[id] != nil {
			// It runs here: the note is from a reader that looked it up just
			// before this node took it up.
			delete(s.known, id)
			continue
		}
		if standing.ended || standing.taking || time.Now().Before(standing.notBefore) {
			continue
		}
		if s.cachedRank(id, standing) < 0 {
			// This node may not take it over: it is outside the regions where the job's
			// bodies may be.
			continue
		}
		if time.Since(standing.heard) > s.patience(id, standing) {
			standing.taking = true
			orphans[id] = standing.owner
		}
	}
	return orphans
}
