package batch

import (
	"context"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"time"
)

// storedLoadTime bounds the reading of one job from the store: some megabytes over
// the slowest links of a deployment, beside as many other jobs as a trainer has in
// a minute.
const storedLoadTimeout = 20 * time.Second

// storedLoad is a reading of one job from the store under way. What it read is
// set once done is closed.
type storedLoad struct {
	done    chan struct{}
	results []jobstore.Result
	total   int
	err     error
}

// readStored reads a job's results from the store, for when its owner is away.
// That of an ended job is shared by all who ask meanwhile and goes on when they
// give up: with a bound as short as a caller's patience a large job on a slow link
// was never read to its end, however often it was asked for. An open job is read
// anew for each, since what a reading under way has missed may have been seen.
func (s *Service) readStored(ctx context.Context, stored jobstore.StoredJob, after int) (Page, error) {
	if !stored.Ended {
		results, total, err := s.loadStored(ctx, stored)
		return pageAfter(results, after, total), err
	}
	load := s.joinLoad(stored)
	select {
	case <-load.done:
	case <-ctx.Done():
		return Page{}, ctx.Err()
	}
	if load.err != nil {
		return Page{}, load.err
	}
	return pageAfter(load.results, after, load.total), nil
}

// joinLoad returns the reading of a job that is under way, or begins one.
func (s *Service) joinLoad(stored jobstore.StoredJob) *storedLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if load := s.storedLoads[stored.ID]; load != nil {
		return load
	}
	load := &storedLoad{done: make(chan struct{})}
	s.storedLoads[stored.ID] = load
	go func() {
		ctx, cancel := context.WithTimeout(s.base, storedLoadTimeout)
		defer cancel()
		load.results, load.total, load.err = s.loadStored(ctx, stored)
		s.mutex.Lock()
		delete(s.storedLoads, stored.ID)
		s.mutex.Unlock()
		close(load.done)
	}()
	return load
}

// loadStored reads what is not known yet of a job from the store, and returns all
// its results and how many items it has.
func (s *Service) loadStored(ctx context.Context, stored jobstore.StoredJob) (results []jobstore.Result, total int, err error) {
	s.mutex.Lock()
	known := s.learnStored(stored)
	from := known.chunks
	results, total = known.results, max(known.total, stored.Record.Items)
	s.mutex.Unlock()
	ctx = s.within(ctx, stored.Record)
	if total == 0 {
		if total, err = s.readTotal(ctx, stored); err != nil {
			return nil, 0, err
		}
	}
	added, err := s.config.JobStore.Results(ctx, stored.ID, from)
	if err != nil {
		return nil, 0, err
	}
	results = append(results[:len(results):len(results)], added.Results...)
	s.mutex.Lock()
	if known.total = total; !s.isOutsider(known) {
		s.keepStored(stored, known, results, added)
	}
	s.mutex.Unlock()
	s.config.Logger.Info("batch job read from the store", "request", stored.ID, "ended", stored.Ended, "owner", stored.Record.Owner.Node,
		"results", len(results), "chunks", added.Chunks, "final", added.Sealed)
	return results, total, nil
}

// keepStored keeps what was read of a job, so that the next reading goes on behind it.
// A node that may not have the job's bodies keeps nothing: it has shown them to a
// caller of its own, and reads them anew for the next. The mutex must be held.
func (s *Service) keepStored(stored jobstore.StoredJob, known *remoteJob, results []jobstore.Result, added jobstore.Listing) {
	if added.Chunks > known.chunks {
		known.results, known.chunks = results, added.Chunks
	}
	known.final = known.final || added.Sealed
	if stored.Ended {
		s.sealLater(stored.ID, known)
	}
}

// readTotal reads how many items a job has.
func (s *Service) readTotal(ctx context.Context, stored jobstore.StoredJob) (int, error) {
	payload, err := s.config.JobStore.Payload(ctx, stored.ID, stored.Record.Parts)
	if err != nil {
		return 0, err
	}
	submission, err := s.config.Codec.Submission(payload)
	if err != nil {
		return 0, err
	}
	return len(submission.Items), nil
}

// readFinal reads a job whose results this node has read after the last of them.
func (s *Service) readFinal(id string, after int) (Page, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.remoteJobs[id]
	if known == nil || !known.final {
		return Page{}, false
	}
	return pageAfter(known.results, after, known.total), true
}

// pageAfter is the page of the results behind a position.
func pageAfter(results []jobstore.Result, after, total int) Page {
	page := Page{Total: total}
	if after < len(results) {
		page.Results = results[after:]
	}
	return page
}

// readEndedFor reads an ended job of this node's former process for another
// node, so that one node reads the store for all.
func (s *Service) readEndedFor(ctx context.Context, id string, after int) (Page, bool) {
	if page, final := s.readFinal(id, after); final {
		return page, true
	}
	stored, err := s.config.JobStore.Read(ctx, id)
	if err != nil || !stored.Ended || stored.Record.Owner.Node != s.config.Self.Node {
		return Page{}, false
	}
	page, err := s.readStored(ctx, stored, after)
	if err != nil {
		s.config.Logger.Info("stored batch job not read", "request", id, "error", err.Error())
		return Page{}, false
	}
	return page, true
}
