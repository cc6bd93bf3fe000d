package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/replicas/homes"
)

const (
	// sealTime bounds the writing of a seal: a create whose first answers were lost is
	// settled in as long.
	sealTime = 2 * time.Second
	// sealPause is the time between two tries while the store takes no writes.
	sealPause = time.Second
)

// sealLater has a seal written behind what was read of an ended job, unless one stands
// or is on its way. Nothing can be added behind a seal: the owner, which may not know
// of the end, finds the place taken. Without it a result that the owner lists later
// would be missing at a node that has read the job before. Readers do not wait for it,
// since it changes nothing of what they are shown. The mutex must be held.
func (s *Service) sealLater(id string, known *remoteJob) {
	if known.final || time.Now().Before(known.sealAfter) {
		return
	}
	known.sealAfter = time.Now().Add(sealTime + sealPause)
	go s.seal(id, known, journal.Listing{Chunks: known.chunks})
}

// seal writes an empty chunk behind a number of chunks and all that came since, and
// takes what stands then for all there is.
func (s *Service) seal(id string, known *remoteJob, behind journal.Listing) {
	from := behind.Chunks
	ctx, cancel := context.WithTimeout(s.base, sealTime)
	defer cancel()
	s.mutex.Lock()
	bounds := s.boundsOf(*known.origin)
	s.mutex.Unlock()
	behind, err := s.config.Journal.Seal(homes.WithBounds(ctx, bounds), id, behind, s.writerName())
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
