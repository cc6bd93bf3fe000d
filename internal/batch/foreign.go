package batch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
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
	// endMemory is for how long an end is told in heartbeats.
	endMemory = 4 * time.Second
)

// foreign is a batch job that another node runs.
type foreign struct {
	owner Owner
	// heard is when the owner was heard to run it.
	heard time.Time
	ended bool
	// leaving is set when the owner gives its jobs away.
	leaving bool
	taking  bool
	// results are those read from the store, for answers while the owner is
	// silent, and chunks their number of objects.
	results []Result
	chunks  int
}

func formatIncarnation(incarnation uint64) string { return strconv.FormatUint(incarnation, 36) }

// noteForeign records who runs a job. The mutex must be held.
func (s *Service) noteForeign(id string, owner Owner, ended bool) *foreign {
	standing := s.known[id]
	if standing == nil {
		standing = &foreign{}
		s.known[id] = standing
	}
	if standing.owner != owner {
		standing.owner, standing.leaving = owner, false
		standing.heard = time.Now()
	}
	standing.ended = standing.ended || ended
	return standing
}

// FillBeat adds what this node runs to its heartbeat.
func (s *Service) FillBeat(beat *wire.NodeBeat) {
	beat.Uses = s.Uses()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, held := range s.jobs {
		if held.open() {
			beat.Jobs = append(beat.Jobs, id)
		}
	}
	slices.Sort(beat.Jobs)
	beat.Leaving = s.leaving
	s.ended = slices.DeleteFunc(s.ended, func(end recentEnd) bool { return time.Since(end.at) > endMemory })
	for _, end := range s.ended {
		beat.Ended = append(beat.Ended, end.job)
	}
}

// TakeBeat takes another node's heartbeat.
func (s *Service) TakeBeat(beat *wire.NodeBeat) {
	owner := Owner{Node: beat.Node, Address: beat.Address, Incarnation: beat.Incarnation}
	var contested []*job
	s.mutex.Lock()
	running := map[string]int{}
	for _, use := range beat.Uses {
		running[use.Replica] = int(use.Running)
	}
	s.uses[beat.Node] = nodeUses{at: time.Now(), running: running}
	for _, id := range beat.Jobs {
		if held := s.jobs[id]; held != nil {
			if !beat.Leaving {
				contested = append(contested, held)
			}
			continue
		}
		standing := s.noteForeign(id, owner, false)
		standing.heard, standing.leaving = time.Now(), beat.Leaving
	}
	for _, id := range beat.Ended {
		if held := s.jobs[id]; held != nil && !held.ended {
			// Whoever ended it took another node for the owner.
			held.suspect = true
			contested = append(contested, held)
		}
		s.endLocally(id)
	}
	s.mutex.Unlock()
	for _, version := range beat.Versions {
		s.NoteVersion(version)
	}
	for _, held := range contested {
		go s.confirmOwner(held)
	}
	s.nudge()
}

// endLocally stops a job that its caller has ended. The mutex must be held.
func (s *Service) endLocally(id string) {
	if standing := s.known[id]; standing != nil {
		standing.ended = true
	}
	held := s.jobs[id]
	if held == nil || held.ended {
		return
	}
	held.ended = true
	held.cancel()
	s.dropQueued(held)
	held.notify()
	s.config.Logger.Info("batch job ended", "request", id, "listed", len(held.listed), "items", len(held.items))
}

// beat sends heartbeats while this node has something to tell.
func (s *Service) beat(ctx context.Context) {
	quiet := 0
	for objectstore.Sleep(ctx, beatPeriod) {
		if s.OpenJobs() > 0 {
			quiet = 0
		} else {
			quiet++
		}
		if quiet <= idleBeats {
			s.config.Table.Broadcast()
		}
	}
}

// watchOwners takes over the jobs whose owners have fallen silent.
func (s *Service) watchOwners(ctx context.Context) {
	last := time.Now()
	for objectstore.Sleep(ctx, ownerLook) {
		paused := time.Since(last) > pauseLimit
		last = time.Now()
		for _, held := range s.unconfirmed(paused) {
			go s.confirmOwner(held)
		}
		for _, id := range s.orphans() {
			go s.takeOver(ctx, id)
		}
	}
}

const (
	// pauseLimit is from which gap between looks this process counts as having
	// stood still, so that others may have taken its jobs over.
	pauseLimit = 800 * time.Millisecond
	// confirmPeriod is how often the ownership of an open job is looked up.
	confirmPeriod = 3 * time.Second
)

// unconfirmed returns the jobs whose ownership has to be looked up. After a
// pause no job is answered for before that.
func (s *Service) unconfirmed(paused bool) []*job {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var due []*job
	for _, held := range s.jobs {
		held.suspect = held.suspect || (paused && !held.closed())
		if held.suspect || (held.open() && time.Since(held.confirmed) > confirmPeriod) {
			held.confirmed = time.Now()
			due = append(due, held)
		}
	}
	return due
}

// orphans returns the open jobs that it is this node's turn to take over.
func (s *Service) orphans() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.leaving {
		return nil
	}
	var orphans []string
	for id, standing := range s.known {
		if standing.ended || standing.taking {
			continue
		}
		patience := time.Duration(s.rank(id, standing.owner.Node)) * rankDelay
		if !standing.leaving {
			patience += ownerSilence
		}
		if time.Since(standing.heard) > patience {
			standing.taking = true
			orphans = append(orphans, id)
		}
	}
	return orphans
}

// rank is this node's place among those that may take a job over.
func (s *Service) rank(id, owner string) int {
	var candidates []rendezvous.Candidate
	for _, node := range s.config.Table.Nodes() {
		if node != owner || node == s.config.Self.Node {
			candidates = append(candidates, rendezvous.Candidate{ID: node})
		}
	}
	return slices.IndexFunc(rendezvous.Rank(id, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == s.config.Self.Node
	})
}

// takeOver makes this node the owner of a job, unless another is or the job
// has ended.
func (s *Service) takeOver(ctx context.Context, id string) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if standing := s.known[id]; standing != nil {
			standing.taking, standing.heard = false, time.Now()
		}
	}()
	standing, err := s.config.Journal.Look(ctx, id)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.mutex.Lock()
	known := s.noteForeign(id, standing.Record.Owner, standing.Ended)
	moved := time.Since(known.heard) < ownerSilence && !known.leaving && known.owner != s.config.Self
	s.mutex.Unlock()
	if standing.Ended || moved {
		return
	}
	taken, err := s.config.Journal.TakeOver(ctx, standing, s.config.Self)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job taken over", "request", id, "from", standing.Record.Owner.Node, "epoch", taken.Record.Epoch)
	s.metrics.takeovers.Inc()
	s.loadJob(ctx, taken)
}

// loadJob reads a job that this node owns from the store and takes it up.
func (s *Service) loadJob(ctx context.Context, standing Standing) {
	for ctx.Err() == nil {
		payload, err := s.config.Journal.Payload(ctx, standing.ID, standing.Record.Parts)
		if err == nil {
			var results []Result
			var chunks int
			if results, chunks, err = s.config.Journal.Results(ctx, standing.ID, 0); err == nil {
				var submission *Submission
				if submission, err = s.config.Codec.Submission(payload); err == nil {
					results, chunks, err = s.fence(ctx, standing.ID, results, chunks)
				}
				if err == nil {
					s.start(standing.ID, submission, standing.Record, results, chunks)
					return
				}
			}
		}
		s.config.Logger.Error(err, "batch job not read", "request", standing.ID)
		objectstore.Pause(ctx, readPause)
	}
}

// fence writes an empty chunk behind the results that stand. The former owner
// may still append until it learns of its successor; from here on its appends
// fail, and everything before is known.
func (s *Service) fence(ctx context.Context, id string, results []Result, chunks int) ([]Result, int, error) {
	for {
		standing, own, err := s.config.Journal.Append(ctx, id, chunks, chunk{Writer: s.writerName()})
		if err != nil {
			return nil, 0, err
		}
		chunks++
		if own {
			return results, chunks, nil
		}
		results = append(results, standing.Results...)
	}
}

// readPause is the time between tries to read a job back.
const readPause = 150 * time.Millisecond

// recover learns at the start which jobs there are. Those whose owners stay
// silent are taken over like any others.
func (s *Service) recover(ctx context.Context) {
	for ctx.Err() == nil {
		all, err := s.config.Journal.All(ctx)
		if err == nil {
			s.mutex.Lock()
			for _, standing := range all {
				if s.jobs[standing.ID] == nil && !standing.Ended {
					s.noteForeign(standing.ID, standing.Record.Owner, false)
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
