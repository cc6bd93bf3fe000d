package batch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// publish appends the finished results of a job, and saves the texts of its running
// items, until the job ends.
func (s *Service) publish(held *job) {
	saving := time.NewTimer(textSaveInterval)
	defer saving.Stop()
	appended := time.Now()
	for {
		select {
		case <-held.ctx.Done():
			return
		case <-held.flush:
			s.coalesce(held, appended)
		case <-saving.C:
		}
		appended = time.Now()
		for s.appendChunk(held) {
			s.coalesce(held, appended)
			appended = time.Now()
		}
		saving.Reset(textSaveInterval)
	}
}

const (
	// groupCoalesceDelay is how long results wait for others once a group is complete and
	// the trainer may soon have the groups that it waits for.
	groupCoalesceDelay = 40 * time.Millisecond
	// coalesceDelay is the time between appends before that, while nobody waits for single
	// results. If the owner fails, results that are not appended are generated again.
	coalesceDelay = textSaveInterval
	// coalesceDelayNearDeadline replaces coalesceDelay from coalesceDelay before the job's
	// deadline, since groups that complete late count for less.
	coalesceDelayNearDeadline = 500 * time.Millisecond
	// endingTextCoalesceDelay is how much longer results wait for texts that are about to
	// end.
	endingTextCoalesceDelay = 500 * time.Millisecond
	coalescePollInterval    = 20 * time.Millisecond
)

// coalesce waits after the last append, so that results that finish close together share a
// chunk.
func (s *Service) coalesce(held *job, appended time.Time) {
	for {
		pause, done := s.coalescePause(held, time.Since(appended))
		if pause > 0 && !objectstore.Sleep(held.ctx, pause) {
			return
		}
		if done {
			return
		}
	}
}

// coalescePause returns the time until the next check, or, if done, until the results are
// to be appended.
func (s *Service) coalescePause(held *job, waited time.Duration) (pause time.Duration, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	// A job without a deadline is never critical, and computing the paces costs time in
	// proportion to the number of replicas.
	if !held.deadline.IsZero() {
		if paces := s.replicas.Paces(); s.scheduler.isCritical(held, paces) {
			if s.criticalListingDue(held, paces, waited) {
				return 0, true
			}
			return coalescePollInterval, false
		}
	}
	switch {
	case held.hasDesiredGroups() && held.shouldListSoon(time.Now()):
		return 0, true
	case held.shouldListSoon(time.Now()):
		return groupCoalesceDelay, true
	case waited >= held.maxCoalesceDelay(time.Now(), s.eventRates.Of(held.submission.Model).Longest()):
		return 0, true
	}
	return coalescePollInterval, false
}

// remainingItems returns the number of items without a result.
func (j *job) remainingItems() int { return len(j.items) - len(j.listed) - len(j.finished) }

// appendChunk appends one chunk and lists what the store then has at its index, which may
// be another node's chunk. It reports whether there is more to append.
func (s *Service) appendChunk(held *job) bool {
	written, index, due := s.nextChunk(held)
	if !due {
		return false
	}
	began := time.Now()
	// The end of the job does not cancel the append: the store may have applied it, and
	// readers may have seen results there that would be missing here.
	stored, own, err := s.config.JobStore.Append(s.withRegionBounds(held.appends, held.record), held.id, index, written)
	s.mutex.Lock()
	held.saving = false
	s.mutex.Unlock()
	if err != nil {
		s.config.Logger.Error(err, "results not appended", "request", held.id, "chunk", index, "results", len(written.Results),
			"ended", held.ctx.Err() != nil)
		return held.ctx.Err() == nil
	}
	s.recordChunk(held, stored, own)
	s.config.Logger.Info("results listed", "request", held.id, "chunk", index, "results", len(stored.Results), "texts", len(stored.Texts),
		"ageMs", time.Since(held.startedAt).Milliseconds(), "tookMs", time.Since(began).Milliseconds())
	if !own {
		s.config.Logger.Info("results appended by another node adopted", "request", held.id, "chunk", index, "writer", stored.Writer)
		s.awaitOwnership(held)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(held.finished) > 0 && held.ctx.Err() == nil
}

// nextChunk returns the chunk to append now and its index. It returns false if there is
// nothing to append.
func (s *Service) nextChunk(held *job) (written jobstore.Chunk, index int, due bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held.ended || held.superseded {
		return jobstore.Chunk{}, 0, false
	}
	results := firstChunkOf(held.finished)
	held.flushSoon = false
	held.serial++
	written = jobstore.Chunk{Writer: s.writerID(), Serial: held.serial, Results: results, Texts: held.unsavedTexts(len(results) > 0)}
	if len(results) == 0 && len(written.Texts) == 0 {
		return jobstore.Chunk{}, 0, false
	}
	if len(written.Texts) > 0 {
		held.textsSavedAt, held.saving = time.Now(), true
	}
	if len(results) > 0 {
		held.appendingSince = time.Now()
	}
	return written, held.chunks, true
}

// awaitOwnership waits until it is known whether this node still owns a job to which
// another node has appended a chunk. This node must not append before that: the other may
// be its successor, which knows only the chunks before its own.
func (s *Service) awaitOwnership(held *job) {
	s.mutex.Lock()
	held.markUnconfirmed()
	s.mutex.Unlock()
	for {
		s.confirmOwner(held)
		s.mutex.Lock()
		confirmed := !held.unconfirmed || held.superseded
		s.mutex.Unlock()
		if confirmed || !objectstore.Sleep(held.ctx, readRetryDelay) {
			return
		}
	}
}

// writerID identifies this process in the chunks that it writes.
func (s *Service) writerID() string {
	return s.config.Self.Node + "@" + formatIncarnation(s.config.Self.Incarnation)
}

// recordChunk lists the results of a stored chunk.
func (s *Service) recordChunk(held *job, stored jobstore.Chunk, own bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if own {
		held.recordSaved(stored.Texts)
	}
	inStore := map[string]bool{}
	for _, result := range stored.Results {
		inStore[result.ID] = true
		held.markDone(result.ID)
	}
	held.listed = append(held.listed, stored.Results...)
	held.chunks++
	kept := held.finished[:0:0]
	for _, result := range held.finished {
		if !inStore[result.ID] {
			kept = append(kept, result)
		}
	}
	held.finished = kept
	held.appendingSince = time.Time{}
	held.notify()
}

// firstChunkOf returns the first results that fit into one chunk, at least one.
func firstChunkOf(results []jobstore.Result) []jobstore.Result {
	size := 0
	for i, result := range results {
		size += len(result.Text) + resultOverhead
		if size > jobstore.MaxChunkBytes && i > 0 {
			return results[:i:i]
		}
	}
	return results[:len(results):len(results)]
}

// resultOverhead is the approximate size of an encoded result without its text, in bytes.
const resultOverhead = 300

// confirmOwner reads whether this node still owns a job, and stops the job if not.
func (s *Service) confirmOwner(held *job) {
	ctx, cancel := context.WithTimeout(s.base, recordReadTimeout)
	defer cancel()
	began := time.Now()
	stored, err := s.config.JobStore.Read(ctx, held.id)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil {
		s.applyRecord(held, stored, began)
	}
}

// applyRecord applies the record of a held job that a store call returned. began is when
// that call began. The mutex must be held.
func (s *Service) applyRecord(held *job, stored jobstore.StoredJob, began time.Time) {
	if s.jobs[held.id] != held {
		return
	}
	held.confirmedAt = began
	if stored.Record.Owner == s.config.Self {
		held.unconfirmed = held.unconfirmed && began.Before(held.unconfirmedAt)
		switch {
		case stored.Ended:
			held.endStored = true
			s.applyEnd(held.id)
		case held.ended:
			// The node that announced the end may have failed before storing it.
			go s.persistEnd(held.id)
		}
		return
	}
	s.stopSuperseded(held)
	s.learnStored(stored)
}

// recordReadTimeout bounds a read of a job's record.
const recordReadTimeout = 2 * time.Second

func encodeResults(results []jobstore.Result) ([]byte, error) { return json.Marshal(results) }
