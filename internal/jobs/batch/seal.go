package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/residency"
)

const (
	// sealTimeout bounds the writing of a seal. It covers the time to determine the
	// outcome of a create whose responses were lost.
	sealTimeout = 2 * time.Second
	// sealRetryDelay is the delay before a seal that failed may be attempted again.
	sealRetryDelay = time.Second
)

// sealAsync writes a seal after the chunks read of an ended job, in the background,
// unless they end with one or an attempt is recent.
//
// Nothing can be appended after a seal, not even by an owner that does not know of the
// end. Without it, a result that this owner appends later would be missing at a node that
// has read the job before. Readers need not wait for the seal, which does not change what
// they get. The mutex must be held.
func (s *Service) sealAsync(id string, known *remoteJob) {
	if known.sealed || time.Now().Before(known.sealRetryAt) {
		return
	}
	known.sealRetryAt = time.Now().Add(sealTimeout + sealRetryDelay)
	go s.seal(id, known, jobstore.Listing{Chunks: known.chunks})
}

// seal writes a seal after the given chunks and those added since, and records the
// results up to it as final.
func (s *Service) seal(id string, known *remoteJob, listing jobstore.Listing) {
	from := listing.Chunks
	ctx, cancel := context.WithTimeout(s.base, sealTimeout)
	defer cancel()
	s.mutex.Lock()
	bounds := s.regionBounds(*known.origin)
	s.mutex.Unlock()
	listing, err := s.config.JobStore.Seal(residency.WithBounds(ctx, bounds), id, listing, s.writerID())
	if err != nil {
		s.config.Logger.Info("ended batch job not sealed", "request", id, "error", err.Error())
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known.chunks == from {
		known.results = append(known.results[:len(known.results):len(known.results)], listing.Results...)
		known.chunks = listing.Chunks
		known.sealed = true
	}
}
