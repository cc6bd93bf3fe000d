package batch

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/rendezvous"
)

const (
	// beatPeriod is the time between heartbeats of a node that runs jobs.
	beatPeriod = 300 * time.Millisecond
	// ownerSilence is after how long without a heartbeat an owner's jobs are
	// taken over, and rankDelay what each further candidate adds to it.
	ownerSilence = 1400 * time.Millisecond
	rankDelay    = 350 * time.Millisecond
	// ownerLook is the time between looks at the owners.
	ownerLook = 150 * time.Millisecond
	// idleBeats is how many beats go out after the last job has closed, so
	// that all have heard of its end.
	idleBeats = 3
)

// foreign is a batch job that another node runs.
type foreign struct {
	owner Owner
	// epoch is the owner's place among the job's owners, 0 for unknown.
	epoch int
	// heard is when the owner was heard to run it.
	heard time.Time
	ended bool
	// tenant is whose job it is, if tenantKnown.
	tenant      string
	tenantKnown bool
	// origin decides where the job's bodies may be; nil while it is not known.
	origin *origin
	// waitLogged is set once the log says that the job waits for a node that may have it.
	waitLogged bool
	// rank is this node's place among those that may take the job over, as
	// worked out for a membership.
	rank       int
	membership uint64
	// rankedIn is the configuration that the rank was worked out in.
	rankedIn *directory.Configuration
	// leaving is set when the owner gives its jobs away.
	leaving bool
	taking  bool
	// notBefore is when a failed takeover may be tried again.
	notBefore time.Time
	// results are those read from the store, for answers while the owner is
	// silent, and chunks their number of objects.
	results []Result
	chunks  int
	// total is how many items the job has, 0 while unknown.
	total int
	// final is set once the results were read to a seal, so that none can be added.
	final bool
	// sealAfter is when a further seal may be tried.
	sealAfter time.Time
}

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }

// noteForeign records who runs a job in an epoch, 0 for unknown. An earlier epoch than
// the one known changes nothing: a former owner says so until it has looked the record
// up. The mutex must be held.
func (s *Service) noteForeign(id string, owner Owner, epoch int, ended bool) *foreign {
	standing := s.known[id]
	if standing == nil {
		standing = &foreign{}
		s.known[id] = standing
	}
	switch {
	case standing.owner == owner:
		standing.epoch = max(standing.epoch, epoch)
	case !isEarlier(epoch, standing.epoch):
		standing.owner, standing.epoch, standing.leaving = owner, epoch, false
		standing.heard = time.Now()
		// The rank depends on who the owner is.
		standing.membership = 0
	}
	if ended {
		s.ends.learn(id)
	}
	standing.ended = standing.ended || s.ends.has(id)
	return standing
}

// isEarlier tells whether an epoch is known to be before another one.
func isEarlier(epoch, other int) bool { return epoch > 0 && epoch < other }

// watchOwners takes over the jobs whose owners have fallen silent.
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
	}
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

// endedMemory is for how long the results of an ended job are kept in memory;
// after that the store answers for it.
const endedMemory = 90 * time.Second

// evict forgets jobs that ended long ago.
func (s *Service) evict() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.endKept && time.Since(held.endedAt) > endedMemory {
			held.cancelAppends()
			delete(s.jobs, id)
		}
	}
	for id, standing := range s.known {
		if standing.ended && time.Since(standing.heard) > endedMemory {
			delete(s.known, id)
		}
	}
	s.ends.evict()
	s.evictReplicas()
	s.evictLengths()
	s.evictWorks()
}

// evictReplicas forgets replicas that are gone and nodes that are silent. The
// mutex must be held.
func (s *Service) evictReplicas() {
	listed := s.config.Directory.View().Replicas
	maps.DeleteFunc(s.replicas, func(id string, state *replicaState) bool { return listed[id] == nil && state.running == 0 })
	maps.DeleteFunc(s.uses, func(_ string, uses nodeUses) bool { return time.Since(uses.at) > usesAge })
}

// orphans returns the open jobs that it is this node's turn to take over, with
// the owners that are gone.
func (s *Service) orphans() map[string]Owner {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil
	}
	orphans := map[string]Owner{}
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

// patience is for how long after the last word of its owner this node leaves a
// job alone.
func (s *Service) patience(id string, standing *foreign) time.Duration {
	if standing.owner.Node == s.config.Self.Node {
		// It was run by this node's former process, which is no more.
		return 0
	}
	place := s.cachedRank(id, standing)
	if place >= watchers {
		return unwatchedPatience + time.Duration(place-watchers)*rankDelay
	}
	rank := time.Duration(place) * rankDelay
	peer, known := s.config.Table.Get(standing.owner.Node)
	switch {
	case standing.leaving:
		return rank
	case known && peer.Incarnation > standing.owner.Incarnation:
		// So it is here, but its new process takes it up first.
		return rank + rankDelay
	}
	return rank + ownerSilence
}

// rank is this node's place among those that may take a job over, negative where it
// may not. The mutex must be held.
func (s *Service) rank(id string, standing *foreign) int {
	nodes, owner := s.insiders(standing.origin, s.config.Table.Nodes()), standing.owner.Node
	if owner == s.config.Self.Node {
		owner = ""
	}
	candidates := successors(nodes, owner)
	if len(candidates) == 0 {
		s.logWaiting(id, standing)
	}
	return slices.IndexFunc(rendezvous.Rank(id, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == s.config.Self.Node
	})
}

// cachedRank is this node's rank for a job. The mutex must be held.
func (s *Service) cachedRank(id string, standing *foreign) int {
	membership, configuration := s.config.Table.Membership()+1, s.config.Directory.View().Configuration
	if standing.membership != membership || standing.rankedIn != configuration {
		standing.rank, standing.membership, standing.rankedIn = s.rank(id, standing), membership, configuration
	}
	return standing.rank
}

const (
	// recoverLook is the time between looks at whether this node has joined, and
	// joinPatience for how long it is waited for: a node whose entry the store
	// does not take reads the jobs through its peers all the same. A new node
	// needs 0.4 s and two calls to the store.
	recoverLook  = 20 * time.Millisecond
	joinPatience = 1500 * time.Millisecond
)

// recover learns at the start which jobs there are. Those whose owners stay
// silent are taken over like any others. A node that is new to the deployment
// owns none, and the newest ones of others have their watchers: it takes a
// listing that may be some seconds old, for a tenth of the price.
func (s *Service) recover(ctx context.Context) {
	for began := time.Now(); !s.config.Table.Joined() && time.Since(began) < joinPatience; {
		if !objectstore.Sleep(ctx, recoverLook) {
			return
		}
	}
	freshness := objectstore.Linearizable
	if s.config.Table.IsNew() {
		freshness = objectstore.MayBeStale
	}
	for ctx.Err() == nil {
		all, err := s.config.Journal.All(ctx, freshness)
		if err == nil {
			s.mutex.Lock()
			for _, standing := range all {
				if s.jobs[standing.ID] == nil && !standing.Ended {
					s.noteStanding(standing)
				}
			}
			s.recovered = true
			s.mutex.Unlock()
			return
		}
		objectstore.Pause(ctx, readPause)
	}
}

// Recovered tells whether the jobs of the store are known.
func (s *Service) Recovered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}
