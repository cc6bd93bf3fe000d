package usage

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// dutyName identifies this duty to the lease.
	dutyName = "usage"
	// maxSettleDelay is the maximum time from the end of a window to its settling, during
	// which the nodes push its last counts. By then requests that began in the window have
	// been answered.
	maxSettleDelay = 2500 * time.Millisecond
	// settleFraction limits this time to a fraction of the time until the report is due. The
	// rest is reserved for a takeover of the lease.
	settleFraction = 0.25
	// giveUpFactor is the multiple of the deadline after which a report is given up. Until
	// then the platform accepts late reports, for billing.
	giveUpFactor = 3
	// reportTimeout bounds one report, and reportRetryDelay is the time before a failed
	// report is retried.
	reportTimeout    = 900 * time.Millisecond
	reportRetryDelay = 300 * time.Millisecond
	// minReceiverTime is how long a node must have been a receiver of pushes before it settles
	// a window. It exceeds receiverPollInterval plus minPushInterval, which gives the other
	// nodes time to push their counts to a new holder.
	minReceiverTime = 1500 * time.Millisecond
	// windowPollInterval is the time between checks for windows to report.
	windowPollInterval = 200 * time.Millisecond
)

// runReports reports windows while this node holds the lease, until the context is done.
func (s *Service) runReports(ctx context.Context) {
	for objectstore.Sleep(ctx, s.reportStep(ctx)) {
	}
}

// reportStep reports the next window if it is due, and returns the time until the next step.
func (s *Service) reportStep(ctx context.Context) time.Duration {
	s.updateReceiverSince()
	number, due := s.nextWindow()
	if !due || !s.config.Elector.IsCandidate() {
		s.config.Elector.MarkIdle(dutyName)
		return windowPollInterval
	}
	if ready, retryAfter := s.config.Elector.EnsureHeld(ctx, dutyName); !ready {
		return retryAfter
	}
	s.updateReceiverSince()
	if wait := s.receiverWait(); wait > 0 {
		return wait
	}
	return s.reportWindow(ctx, number)
}

// updateReceiverSince records whether other nodes push their counts to this node, and since
// when.
func (s *Service) updateReceiverSince() {
	switch isReceiver := slices.Contains(s.config.Elector.HolderAndSuccessors(pushSuccessors), s.config.Node); {
	case !isReceiver:
		s.receiverSince = time.Time{}
	case s.receiverSince.IsZero():
		s.receiverSince = time.Now()
	}
}

// receiverWait returns how long this node must still wait for the pushes of other nodes, 0 or
// less if it need not wait.
func (s *Service) receiverWait() time.Duration {
	if s.receiverSince.IsZero() {
		return windowPollInterval
	}
	return time.Until(s.receiverSince.Add(minReceiverTime))
}

// nextWindow returns the oldest window that is not completed, and whether it is due to be
// settled and reported.
func (s *Service) nextWindow() (number int64, due bool) {
	s.collectOwnCounts()
	completed := s.completed.Load()
	number, known := s.collector.firstAfter(completed)
	if completed > 0 && (!known || number > completed+1) && s.ranDuring(completed+1) {
		// No counts have arrived for the window after the last completed one. This node was
		// running during that window and would have received them, so the window had no
		// requests.
		number, known = completed+1, true
	}
	return number, known && s.counter.sinceEnd(number, time.Now()) >= s.settleDelay()
}

// settleDelay returns the time from the end of a window to its settling.
func (s *Service) settleDelay() time.Duration {
	return min(maxSettleDelay, time.Duration(settleFraction*float64(s.config.ReportDeadline)))
}

// ranDuring reports whether this process has been running since before a window began.
func (s *Service) ranDuring(number int64) bool {
	return s.counter.sinceEnd(number, s.started) < -s.config.Window
}

// collectOwnCounts adds this node's own counts to the collected ones.
func (s *Service) collectOwnCounts() {
	windows, _ := s.counter.changedSince(0)
	if len(windows) > 0 {
		s.collector.add(s.pusher.newPush(windows, time.Now()))
	}
}

// reportWindow settles and reports a window, or gives it up if it is too late, and returns
// the time until the next step.
func (s *Service) reportWindow(ctx context.Context, number int64) time.Duration {
	late := s.counter.sinceEnd(number, time.Now())
	if late > giveUpFactor*s.config.ReportDeadline {
		s.config.Logger.Info("gave up reporting usage of window", "window", number, "lateMs", late.Milliseconds())
		s.complete(number, outcomeGivenUp)
		return 0
	}
	counted, sources := s.collector.sum(number)
	settled, err := s.ledger.settle(ctx, number, counted)
	if errors.Is(err, ErrTooOld) {
		s.config.Logger.Info("gave up reporting usage of window", "window", number, "error", err.Error())
		s.complete(number, outcomeGivenUp)
		return 0
	}
	if err != nil {
		s.config.Logger.Info("failed to settle usage of window", "window", number, "error", err.Error())
		return reportRetryDelay
	}
	if err := s.send(ctx, number, settled); err != nil {
		s.metrics.reports.WithLabelValues(outcomeFailed).Inc()
		s.config.Logger.Info("failed to report usage of window", "window", number, "lateMs", late.Milliseconds(), "error", err.Error())
		return reportRetryDelay
	}
	s.config.Logger.Info("usage of window reported", "window", number, "requests", settled.total(), "counted", counted.total(),
		"sources", sources, "lateMs", late.Milliseconds())
	s.complete(number, outcomeReported)
	return 0
}

// send sends a report under the lease.
func (s *Service) send(ctx context.Context, number int64, counts Counts) error {
	permit, valid := s.config.Elector.BeginCall()
	if !valid {
		return lease.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := s.config.Platform.Report(ctx, Report{Window: number, Holder: permit.Holder, Token: permit.Token, Counts: counts})
	permit.Done(!errors.Is(err, lease.ErrUnanswered))
	return err
}
