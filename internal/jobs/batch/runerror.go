package batch

import (
	"errors"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
)

const (
	// fullBlock is how long a replica that refused an item first gets no others, and
	// breakBlock one whose run broke before its first event. Both grow with each failure
	// in a row.
	fullBlock  = 80 * time.Millisecond
	breakBlock = 50 * time.Millisecond
	// otherBlock is how long an address gets no items after another incarnation responded
	// there.
	otherBlock = 2 * time.Second
	// breakPause is the delay before an item whose run broke is run again. It grows with
	// each broken run up to longestBreak.
	breakPause   = 5 * time.Millisecond
	longestBreak = 500 * time.Millisecond
	// quarantinePause is the time between checks whether a quarantined item may be sent
	// again.
	quarantinePause = time.Second
	// failurePause is the delay before an item that failed is run again.
	failurePause = 60 * time.Millisecond
	// refusedStatus is a replica's response to an item that can never succeed.
	refusedStatus = http.StatusUnprocessableEntity
)

// handleRunError updates the item and the replica after a run that failed. The mutex must
// be held.
func (s *scheduler) handleRunError(running *attempt, state *replicastate.State, err error) {
	work := running.item
	var notRun *dispatch.NotRunError
	var withheld *dispatch.WithheldError
	var quarantined *dispatch.QuarantinedError
	var status *ItemStatusError
	var cut *CutError
	switch {
	case errors.As(err, &quarantined):
		work.retryAt = time.Now().Add(quarantinePause)
	case errors.As(err, &withheld):
		// The item was not sent: another replica may take it, or this one later.
		work.retryAt = time.Now().Add(breakPause)
	case errors.As(err, &notRun) && notRun.OtherReplica:
		state.BlockedUntil = time.Now().Add(otherBlock)
	case errors.As(err, &notRun):
		state.Block(fullBlock)
	case errors.As(err, &cut):
		s.metrics.moved.WithLabelValues(string(cut.Reason)).Inc()
		if cut.Reason == placement.ReasonStalled {
			work.stalls++
		}
	case errors.Is(err, ErrOldWeights):
	case errors.As(err, &status) && status.Status == refusedStatus:
		s.abandon(work, "a replica says it can never be done")
	case errors.As(err, &status) && status.Status == http.StatusInternalServerError:
		s.recordFailure(running, state)
	default:
		if running.events.Load() == 0 {
			// The replica may be down: no further items are tried there for a while.
			state.Unresponsive = true
			state.Block(breakBlock)
		}
		work.breaks++
		work.retryAt = time.Now().Add(min(time.Duration(work.breaks)*breakPause, longestBreak))
	}
}

// abandon gives an item the result Abandoned. The mutex must be held.
func (s *scheduler) abandon(work *item, reason string) {
	s.config.Logger.Info("item given up", "request", work.ID, "job", work.job.id, "reason", reason, "failures", work.failures)
	s.finish(work, jobstore.Result{ID: work.ID, State: jobstore.Abandoned})
}

// itemAttempts returns the number of failures after which an item is abandoned.
func (s *scheduler) itemAttempts(work *item) int {
	if configuration := s.config.Directory.View().Configuration; configuration != nil {
		if route := routeOf(configuration, work.job.record.Route); route != nil {
			return route.Attempts
		}
	}
	return defaultAttempts
}

// defaultAttempts applies if the route is no longer declared.
const defaultAttempts = 3

// finish records an item's result. The mutex must be held.
func (s *scheduler) finish(work *item, result jobstore.Result) {
	if work.done || work.job.ended || work.job.displaced {
		return
	}
	job := work.job
	job.settle(work.ID)
	job.finished = append(job.finished, result)
	if work.group.open == 0 {
		job.flushSoon = true
	}
	s.metrics.results.WithLabelValues(string(result.State)).Inc()
	job.flushLater()
}
