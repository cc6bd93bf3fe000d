package batch

import (
	"context"
	"github.com/pathtally/pathtally/internal/jobs/journal"
	"time"
)

// storedLoadTime bounds the reading of one job from the store: some megabytes over
// the slowest links of a deployment, beside as many other jobs as a trainer has in
// a minute.
const storedLoadTime = 20 * time.Second

// storedLoad is a reading of one job from the store under way. What it read is
// set once done is closed.
type storedLoad struct {
	done    chan struct{}
	results []journal.Result
	total   int
	err     error
}

// readStored reads a job's results from the store, for when its owner is away.
// That of an ended job is shared by all who ask meanwhile and goes on when they
// give up: with a bound as short as a caller's patience a large job on a slow link
// was never read to its end, however often it was asked for. An open job is read
// anew for each, since what a reading under way has missed may have been seen.
func (s *Service) readStored(ctx context.Context, standing journal.StoredJob, after int) (Page, error) {
	if !standing.Ended {
		results, total, err := s.loadStored(ctx, standing)
		return pageAfter(results, after, total), err
	}
	load := s.joinLoad(standing)
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
func (s *Service) joinLoad(standing journal.StoredJob) *storedLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if load := s.storedLoads[standing.ID]; load != nil {
		return load
	}
	load := &storedLoad{done: make(chan struct{})}
	s.storedLoads[standing.ID] = load
	go func() {
		ctx, cancel := context.WithTimeout(s.base, storedLoadTime)
		defer cancel()
		load.results, load.total, load.err = s.loadStored(ctx, standing)
		s.mutex.Lock()
		delete(s.storedLoads, standing.ID)
		s.mutex.Unlock()
		close(load.done)
	}()
	return load
}

// loadStored reads what is not known yet of a job from the store, and returns all
// its results and how many items it has.
func (s *Service) loadStored(ctx context.Context, standing journal.StoredJob) (results []journal.Result, total int, err error) {
	s.mutex.Lock()
	known := s.noteStanding(standing)
	from := known.chunks
	results, total = known.results, max(known.total, standing.Record.Items)
	s.mutex.Unlock()
	ctx = s.within(ctx, standing.Record)
	if total == 0 {
		if total, err = s.readTotal(ctx, standing); err != nil {
			return nil, 0, err
		}
	}
	added, err := s.config.Journal.Results(ctx, standing.ID, from)
	if err != nil {
		return nil, 0, err
	}
	results = append(results[:len(results):len(results)], added.Results...)
	s.mutex.Lock()
	if known.total = total; !s.isOutsider(known) {
		s.keepStored(standing, known, results, added)
	}
	s.mutex.Unlock()
	s.config.Logger.Info("batch job read from the store", "request", standing.ID, "ended", standing.Ended, "owner", standing.Record.Owner.Node,
		"results", len(results), "chunks", added.Chunks, "final", added.Sealed)
	return results, total, nil
}

// keepStored keeps what was read of a job, so that the next reading goes on behind it.
// A node that may not have the job's bodies keeps nothing: it has shown them to a
// caller of its own, and reads them anew for the next. The mutex must be held.
func (s *Service) keepStored(standing journal.StoredJob, known *remoteJob, results []journal.Result, added journal.Listing) {
	if added.Chunks > known.chunks {
		known.results, known.chunks = results, added.Chunks
	}
	known.final = known.final || added.Sealed
	if standing.Ended {
		s.sealLater(standing.ID, known)
	}
}

// readTotal reads how many items a job has.
func (s *Service) readTotal(ctx context.Context, standing journal.StoredJob) (int, error) {
	payload, err := s.config.Journal.Payload(ctx, standing.ID, standing.Record.Parts)
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
	known := s.known[id]
	if known == nil || !known.final {
		return Page{}, false
	}
	return pageAfter(known.results, after, known.total), true
}

// pageAfter is the page of the results behind a position.
func pageAfter(results []journal.Result, after, total int) Page {
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
	standing, err := s.config.Journal.Read(ctx, id)
	if err != nil || !standing.Ended || standing.Record.Owner.Node != s.config.Self.Node {
		return Page{}, false
	}
	page, err := s.readStored(ctx, standing, after)
	if err != nil {
		s.config.Logger.Info("stored batch job not read", "request", id, "error", err.Error())
		return Page{}, false
	}
	return page, true
}
