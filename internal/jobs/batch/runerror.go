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
	// fullBlock is how long a replica that turned an item away gets none, and
	// breakBlock one that broke a run off before its first event, at first.
	fullBlock  = 80 * time.Millisecond
	breakBlock = 50 * time.Millisecond
	// otherBlock is how long an address is left alone at which another
	// incarnation answered.
	otherBlock = 2 * time.Second
	// breakPause is the time before an item whose run broke is run again, and
	// longestBreak its bound as breaks repeat.
	breakPause   = 5 * time.Millisecond
	longestBreak = 500 * time.Millisecond
	// quarantinePause is the time between checks whether an item may be sent again under
	// which replicas end. It is given up when any other is: not before its time.
	quarantinePause = time.Second
	// failurePause is the time before an item that failed is run again.
	failurePause = 60 * time.Millisecond
	// refusedStatus is a replica's answer that an item can never be done.
	refusedStatus = http.StatusUnprocessableEntity
)

// handleRunError decides what the failed end of a run means for the item and the replica.
// The mutex must be held.
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
		// It was not sent: another replica, or a later moment, will do.
		work.retryAt = time.Now().Add(breakPause)
	case errors.As(err, &notRun) && notRun.AddressReassigned:
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
			// It may be down: trying it with one item after the other helps none.
			state.Unresponsive = true
			state.Block(breakBlock)
		}
		work.breaks++
		work.retryAt = time.Now().Add(min(time.Duration(work.breaks)*breakPause, longestBreak))
	}
}

// abandon ends an item without its text. The mutex must be held.
func (s *scheduler) abandon(work *item, reason string) {
	s.config.Logger.Info("item given up", "request", work.ID, "job", work.job.id, "reason", reason, "failures", work.failures)
	s.finish(work, jobstore.Result{ID: work.ID, State: jobstore.Abandoned})
}

// itemAttempts is how many failures end an item.
func (s *scheduler) itemAttempts(work *item) int {
	if configuration := s.config.Directory.View().Configuration; configuration != nil {
		if route := routeOf(configuration, work.job.record.Route); route != nil {
			return route.Attempts
		}
	}
	return defaultAttempts
}

// defaultAttempts holds where the route is no longer declared.
const defaultAttempts = 3

// finish takes an item's result. The mutex must be held.
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
