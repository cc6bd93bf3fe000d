package batch

import (
	"context"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"time"
)

// storedLoadTimeout bounds the read of one job from the store: some megabytes over the
// slowest links of a deployment, while other jobs are read as well.
const storedLoadTimeout = 20 * time.Second

// storedLoad is a read of a job from the store. Its other fields are valid once done is
// closed.
type storedLoad struct {
	done      chan struct{}
	results   []jobstore.Result
	itemCount int
	err       error
}

// readStored reads a job's results from the store, for when its owner does not reply.
//
// All readers of an ended job share one read, which continues when they give up: bounded
// by a caller's timeout, the read of a large job over a slow link would never finish. An
// open job is read for each reader, since other readers may have seen results that a read
// in progress misses.
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
	return pageAfter(load.results, after, load.itemCount), nil
}

// joinLoad returns the read of a job that is in progress, or starts one.
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
		load.results, load.itemCount, load.err = s.loadStored(ctx, stored)
		s.mutex.Lock()
		delete(s.storedLoads, stored.ID)
		s.mutex.Unlock()
		close(load.done)
	}()
	return load
}

// loadStored reads the chunks of a job that are not in memory from the store. It returns
// all results and the number of items.
func (s *Service) loadStored(ctx context.Context, stored jobstore.StoredJob) (results []jobstore.Result, total int, err error) {
	s.mutex.Lock()
	known := s.learnStored(stored)
	from := known.chunks
	results, total = known.results, max(known.itemCount, stored.Record.Items)
	s.mutex.Unlock()
	ctx = s.withRegionBounds(ctx, stored.Record)
	if total == 0 {
		if total, err = s.readItemCount(ctx, stored); err != nil {
			return nil, 0, err
		}
	}
	added, err := s.config.JobStore.Results(ctx, stored.ID, from)
	if err != nil {
		return nil, 0, err
	}
	results = append(results[:len(results):len(results)], added.Results...)
	s.mutex.Lock()
	if known.itemCount = total; !s.isOutsideAllowedRegions(known) {
		s.cacheStored(stored, known, results, added)
	}
	s.mutex.Unlock()
	s.config.Logger.Info("batch job read from the store", "request", stored.ID, "ended", stored.Ended, "owner", stored.Record.Owner.Node,
		"results", len(results), "chunks", added.Chunks, "final", added.Sealed)
	return results, total, nil
}

// cacheStored keeps the results read of a job, so that the next read continues after them.
// It is not called on nodes that may not have the job's bodies, which read them again for
// each reader. The mutex must be held.
func (s *Service) cacheStored(stored jobstore.StoredJob, known *remoteJob, results []jobstore.Result, added jobstore.Listing) {
	if added.Chunks > known.chunks {
		known.results, known.chunks = results, added.Chunks
	}
	known.sealed = known.sealed || added.Sealed
	if stored.Ended {
		s.sealAsync(stored.ID, known)
	}
}

// readItemCount reads the number of items of a job.
func (s *Service) readItemCount(ctx context.Context, stored jobstore.StoredJob) (int, error) {
	payload, err := s.config.JobStore.Payload(ctx, stored.ID, stored.Record)
	if err != nil {
		return 0, err
	}
	submission, err := s.config.Codec.DecodeSubmission(payload)
	if err != nil {
		return 0, err
	}
	return len(submission.Items), nil
}

// readSealed reads a job from memory if all its results are known to be there.
func (s *Service) readSealed(id string, after int) (Page, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.remoteJobs[id]
	if known == nil || !known.sealed {
		return Page{}, false
	}
	return pageAfter(known.results, after, known.itemCount), true
}

// pageAfter returns the results after a position.
func pageAfter(results []jobstore.Result, after, total int) Page {
	page := Page{Total: total}
	if after < len(results) {
		page.Results = results[after:]
	}
	return page
}

// readEndedForPeer reads, for another node, an ended job that this node owned before it
// was restarted or evicted the job. All nodes ask the same one, which reads the store
// once.
func (s *Service) readEndedForPeer(ctx context.Context, id string, after int) (Page, bool) {
	if page, sealed := s.readSealed(id, after); sealed {
		return page, true
	}
	stored, err := s.config.JobStore.Read(ctx, id)
	if err != nil || !stored.Ended || stored.Record.Owner.Node != s.config.Self.Node {
		return Page{}, false
	}
	page, err := s.readStored(ctx, stored, after)
	if err != nil {
		s.config.Logger.Info("stored batch job not read for a peer", "request", id, "error", err.Error())
		return Page{}, false
	}
	return page, true
}
