package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/residency"
)

const (
	// sealTime bounds the writing of a seal: a create whose first answers were lost is
	// settled in as long.
	sealTimeout = 2 * time.Second
	// sealPause is the time between two tries while the store takes no writes.
	sealRetryPause = time.Second
)

// sealLater has a seal written behind what was read of an ended job, unless the store has
// one or one is on its way. Nothing can be added behind a seal: an owner that does not
// know of the end finds the place taken. Without it a result that the owner lists later
// would be missing at a node that has read the job before. Readers do not wait for it,
// since it changes nothing of what they are shown. The mutex must be held.
func (s *Service) sealLater(id string, known *remoteJob) {
	if known.final || time.Now().Before(known.sealAfter) {
		return
	}
	known.sealAfter = time.Now().Add(sealTimeout + sealRetryPause)
	go s.seal(id, known, jobstore.Listing{Chunks: known.chunks})
}

// seal writes an empty chunk behind a number of chunks and all that came since, and
// records what the store has then as final.
func (s *Service) seal(id string, known *remoteJob, behind jobstore.Listing) {
	from := behind.Chunks
	ctx, cancel := context.WithTimeout(s.base, sealTimeout)
	defer cancel()
	s.mutex.Lock()
	bounds := s.boundsOf(*known.origin)
	s.mutex.Unlock()
	behind, err := s.config.JobStore.Seal(residency.WithBounds(ctx, bounds), id, behind, s.writerName())
	if err != nil {
		s.config.Logger.Info("ended batch job not sealed", "request", id, "error", err.Error())
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if known.chunks == from {
		known.results = append(known.results[:len(known.results):len(known.results)], behind.Results...)
		known.chunks = behind.Chunks
		known.final = true
	}
}
