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
	// refusedBlock is the first block time of a replica that refused an item, and
	// brokenRunBlock that of a replica whose run broke before its first event. The time
	// doubles with each consecutive block.
	refusedBlock   = 80 * time.Millisecond
	brokenRunBlock = 50 * time.Millisecond
	// wrongIncarnationBlock is how long an address gets no items after another
	// incarnation responded there.
	wrongIncarnationBlock = 2 * time.Second
	// brokenRunDelay is the delay before an item whose run broke is run again. It grows
	// with each broken run up to maxBrokenRunDelay.
	brokenRunDelay    = 5 * time.Millisecond
	maxBrokenRunDelay = 500 * time.Millisecond
	// failureRetryDelay is the delay before an item that failed is run again.
	failureRetryDelay = 60 * time.Millisecond
	// rejectedStatus is the status with which replicas reject an item that can never
	// succeed.
	rejectedStatus = http.StatusUnprocessableEntity
)

// handleRunError updates the item and the replica after a run that failed. The mutex must
// be held.
func (s *scheduler) handleRunError(running *itemRun, state *replicastate.State, err error) {
	work := running.item
	var notRun *dispatch.NotRunError
	var withheld *dispatch.WithheldError
	var backoff *dispatch.CrashBackoffError
	var status *ItemStatusError
	var rescheduled *RescheduledError
	work.moveReason = ""
	switch {
	case errors.As(err, &backoff):
		work.waitReason = waitCrashes
		work.retryAt = time.Now().Add(backoff.Remaining)
	case errors.As(err, &withheld):
		// The item was not sent: another replica may take it, or this one later.
		work.waitReason = waitWithheld
		work.retryAt = time.Now().Add(brokenRunDelay)
	case errors.As(err, &notRun) && notRun.AddressReassigned:
		work.waitReason = waitRefused
		state.BlockedUntil = time.Now().Add(wrongIncarnationBlock)
	case errors.As(err, &notRun):
		work.waitReason = waitRefused
		state.Block(refusedBlock)
	case errors.As(err, &rescheduled):
		work.waitReason = waitInterrupted
		work.recordMove(rescheduled.Reason)
		s.metrics.moved.WithLabelValues(string(rescheduled.Reason)).Inc()
		if rescheduled.Reason == placement.ReasonStalled {
			work.stalls++
		}
	case errors.Is(err, ErrOldWeights):
		work.waitReason = waitWrongWeights
	case errors.As(err, &status) && status.Status == rejectedStatus:
		s.abandon(work, "rejected by a replica")
	case errors.As(err, &status) && status.Status == http.StatusInternalServerError:
		work.waitReason = waitFailed
		s.recordFailure(running, state)
	default:
		work.waitReason = waitBroken
		if running.events.Load() == 0 {
			// The replica may be down: no further items are tried there for a while.
			state.Unresponsive = true
			state.Block(brokenRunBlock)
		}
		work.brokenRuns++
		work.retryAt = time.Now().Add(min(time.Duration(work.brokenRuns)*brokenRunDelay, maxBrokenRunDelay))
	}
}

// recordMove records why a run of the item was canceled.
func (i *item) recordMove(reason placement.Reason) {
	i.moveReason = reason
	switch reason {
	case placement.ReasonNotBegun:
		i.notBegun++
	case placement.ReasonSwapped:
		i.swapped = true
	}
}

// abandon gives an item the result Abandoned. The mutex must be held.
func (s *scheduler) abandon(work *item, reason string) {
	s.config.Logger.Info("item abandoned", "request", work.ID, "job", work.job.id, "reason", reason, "failures", work.failures)
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
	if work.done || work.job.ended || work.job.superseded {
		return
	}
	job := work.job
	job.markDone(work.ID)
	job.finished = append(job.finished, result)
	if work.group.open == 0 {
		job.flushSoon = true
	}
	s.metrics.results.WithLabelValues(string(result.State)).Inc()
	job.requestFlush()
}
