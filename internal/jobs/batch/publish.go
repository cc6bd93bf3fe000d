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
func (s *Service) publish(published *job) {
	saving := time.NewTimer(textPeriod)
	defer saving.Stop()
	appended := time.Now()
	for {
		select {
		case <-published.ctx.Done():
			return
		case <-published.flush:
			s.gather(published, appended)
		case <-saving.C:
		}
		appended = time.Now()
		for s.appendOnce(published) {
			s.gather(published, appended)
			appended = time.Now()
		}
		saving.Reset(textPeriod)
	}
}

const (
	// groupGather is how long results wait for others once a group is complete and the
	// trainer may soon have the groups that it waits for. Before that, nobody waits for
	// single results, and appends are resultGather apart. If the owner fails, the results
	// of that time are computed again. From resultGather before the job is due, appends
	// are dueGather apart, since groups that complete late count for less.
	groupGather  = 40 * time.Millisecond
	resultGather = textPeriod
	dueGather    = 500 * time.Millisecond
	// endGather is how much longer results wait for texts that are about to end.
	endGather          = 500 * time.Millisecond
	gatherPollInterval = 20 * time.Millisecond
)

// gather waits after the last append, so that results that finish close together share a
// chunk.
func (s *Service) gather(published *job, appended time.Time) {
	for {
		pause, done := s.gatherPause(published, time.Since(appended))
		if pause > 0 && !objectstore.Sleep(published.ctx, pause) {
			return
		}
		if done {
			return
		}
	}
}

// gatherPause returns the time until the next check, or, if done, until the results are
// to be appended.
func (s *Service) gatherPause(published *job, waited time.Duration) (pause time.Duration, done bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case published.hasDesired() && published.listsSoon(time.Now()):
		return 0, true
	case published.listsSoon(time.Now()):
		return groupGather, true
	case waited >= published.gatherTime(time.Now(), s.eventRates.Of(published.submission.Model).Longest()):
		return 0, true
	}
	return gatherPollInterval, false
}

// remaining returns the number of items without a result.
func (j *job) remaining() int { return len(j.items) - len(j.listed) - len(j.finished) }

// appendOnce appends one chunk and lists what the store then has at its index, which may
// be another node's chunk. It reports whether there is more to append.
func (s *Service) appendOnce(published *job) bool {
	written, index, due := s.nextChunk(published)
	if !due {
		return false
	}
	began := time.Now()
	// The end of the job does not cancel the append: the store may have applied it, and
	// readers may have seen results there that would be missing here.
	stored, own, err := s.config.JobStore.Append(s.within(published.appends, published.record), published.id, index, written)
	s.mutex.Lock()
	published.saving = false
	s.mutex.Unlock()
	if err != nil {
		s.config.Logger.Error(err, "results not appended", "request", published.id, "chunk", index, "results", len(written.Results),
			"ended", published.ctx.Err() != nil)
		return published.ctx.Err() == nil
	}
	s.recordChunk(published, stored, own)
	s.config.Logger.Info("results listed", "request", published.id, "chunk", index, "results", len(stored.Results), "texts", len(stored.Texts),
		"ageMs", time.Since(published.takenUp).Milliseconds(), "tookMs", time.Since(began).Milliseconds())
	if !own {
		s.config.Logger.Info("results of another node adopted", "request", published.id, "chunk", index, "writer", stored.Writer)
		s.settleOwner(published)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(published.finished) > 0 && published.ctx.Err() == nil
}

// nextChunk returns the chunk to append now and its index. It returns false if there is
// nothing to append.
func (s *Service) nextChunk(published *job) (written jobstore.Chunk, index int, due bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if published.ended || published.displaced {
		return jobstore.Chunk{}, 0, false
	}
	results := boundedPart(published.finished)
	published.flushSoon = false
	published.serial++
	written = jobstore.Chunk{Writer: s.writerName(), Serial: published.serial, Results: results, Texts: published.unsavedTexts(len(results) > 0)}
	if len(results) == 0 && len(written.Texts) == 0 {
		return jobstore.Chunk{}, 0, false
	}
	if len(written.Texts) > 0 {
		published.textsSaved, published.saving = time.Now(), true
	}
	if len(results) > 0 {
		published.appendingSince = time.Now()
	}
	return written, published.chunks, true
}

// settleOwner waits until it is known whether this node still owns a job to which another
// node has appended a chunk. This node must not append before that: the other may be its
// successor, which knows only the chunks before its own.
func (s *Service) settleOwner(held *job) {
	s.mutex.Lock()
	held.markSuspect()
	s.mutex.Unlock()
	for {
		s.confirmOwner(held)
		s.mutex.Lock()
		settled := !held.suspect || held.displaced
		s.mutex.Unlock()
		if settled || !objectstore.Sleep(held.ctx, readRetryPause) {
			return
		}
	}
}

// writerName identifies this process in the chunks that it writes.
func (s *Service) writerName() string {
	return s.config.Self.Node + "@" + formatIncarnation(s.config.Self.Incarnation)
}

// recordChunk lists the results of a stored chunk.
func (s *Service) recordChunk(published *job, stored jobstore.Chunk, own bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if own {
		published.recordSaved(stored.Texts)
	}
	inStore := map[string]bool{}
	for _, result := range stored.Results {
		inStore[result.ID] = true
		published.settle(result.ID)
	}
	published.listed = append(published.listed, stored.Results...)
	published.chunks++
	kept := published.finished[:0:0]
	for _, result := range published.finished {
		if !inStore[result.ID] {
			kept = append(kept, result)
		}
	}
	published.finished = kept
	published.appendingSince = time.Time{}
	published.notify()
}

// boundedPart returns the first results that fit into one chunk, at least one.
func boundedPart(results []jobstore.Result) []jobstore.Result {
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

// applyRecord applies a record of a local job that a store call returned. began is when
// that call began. The mutex must be held.
func (s *Service) applyRecord(held *job, stored jobstore.StoredJob, began time.Time) {
	if s.jobs[held.id] != held {
		return
	}
	held.confirmedAt = began
	if stored.Record.Owner == s.config.Self {
		held.suspect = held.suspect && began.Before(held.suspectedAt)
		switch {
		case stored.Ended:
			held.endStored = true
			s.endLocally(held.id)
		case held.ended:
			// The node that announced the end may have failed before storing it.
			go s.persistEnd(held.id)
		}
		return
	}
	s.displace(held)
	s.learnStored(stored)
}

// recordReadTimeout bounds a read of a job's record.
const recordReadTimeout = 2 * time.Second

func encodeResults(results []jobstore.Result) ([]byte, error) { return json.Marshal(results) }
