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
	// which the nodes push its last counts.
	maxSettleDelay = 2500 * time.Millisecond
	// settleShare is the same time as a fraction of the time until the report is due, if
	// that is shorter. The rest is reserved for a takeover of the lease.
	settleShare = 0.25
	// giveUpFactor is the multiple of the deadline after which a report is given up. The
	// platform accepts late reports for billing.
	giveUpFactor = 3
	// reportTimeout bounds one report, and reportRetryDelay is the time before a failed
	// report is retried.
	reportTimeout    = 900 * time.Millisecond
	reportRetryDelay = 300 * time.Millisecond
	// listenPeriod is how long a node must have been a receiver of pushes before it settles
	// a window. It exceeds receiverPollInterval plus minPushInterval, which gives the other
	// nodes time to push their counts to a new holder.
	listenPeriod = 1500 * time.Millisecond
	// windowPollInterval is the time between checks for windows to report.
	windowPollInterval = 200 * time.Millisecond
)

// report reports windows while this node holds the lease, until the context is done.
func (s *Service) report(ctx context.Context) {
	for objectstore.Sleep(ctx, s.reportStep(ctx)) {
	}
}

// reportStep reports the next window if it is due, and returns the time until the next step.
func (s *Service) reportStep(ctx context.Context) time.Duration {
	s.recordInformed()
	number, due := s.nextWindow()
	if !due || !s.config.Elector.IsCandidate() {
		s.config.Elector.MarkIdle(dutyName)
		return windowPollInterval
	}
	if ready, again := s.config.Elector.EnsureHeld(ctx, dutyName); !ready {
		return again
	}
	s.recordInformed()
	if wait := s.listenFor(); wait > 0 {
		return wait
	}
	return s.reportOne(ctx, number)
}

// recordInformed records whether other nodes push their counts to this node, and since when.
func (s *Service) recordInformed() {
	switch informed := slices.Contains(s.config.Elector.HolderAndSuccessors(followers), s.config.Node); {
	case !informed:
		s.informedAt = time.Time{}
	case s.informedAt.IsZero():
		s.informedAt = time.Now()
	}
}

// listenFor returns how long this node must still wait for the pushes of other nodes, 0 or
// less if it need not wait.
func (s *Service) listenFor() time.Duration {
	if s.informedAt.IsZero() {
		return windowPollInterval
	}
	return time.Until(s.informedAt.Add(listenPeriod))
}

// nextWindow returns the oldest window that is not completed, and whether it is due to be
// settled and reported.
func (s *Service) nextWindow() (number int64, due bool) {
	s.collectOwn()
	done := s.done.Load()
	number, known := s.collector.first(done)
	if done > 0 && (!known || number > done+1) && s.ranThrough(done+1) {
		// The next window has no requests: this node was running and would have received
		// their counts.
		number, known = done+1, true
	}
	return number, known && s.counter.sinceEnd(number, time.Now()) >= s.settleDelay()
}

// settleDelay returns the time from the end of a window to its settling.
func (s *Service) settleDelay() time.Duration {
	return min(maxSettleDelay, time.Duration(settleShare*float64(s.config.ReportDeadline)))
}

// ranThrough reports whether this process has been running since before a window began.
func (s *Service) ranThrough(number int64) bool {
	return s.counter.sinceEnd(number, s.started) < -s.config.Window
}

// collectOwn adds this node's own counts to the collected ones.
func (s *Service) collectOwn() {
	windows, _ := s.counter.since(0)
	if len(windows) > 0 {
		s.collector.add(s.pusher.message(windows, time.Now()))
	}
}

// reportOne settles and reports a window, or gives it up if it is too late, and returns the
// time until the next step.
func (s *Service) reportOne(ctx context.Context, number int64) time.Duration {
	late := s.counter.sinceEnd(number, time.Now())
	if late > giveUpFactor*s.config.ReportDeadline {
		s.config.Logger.Info("usage of a window given up", "window", number, "lateMs", late.Milliseconds())
		s.finish(number, outcomeGivenUp)
		return 0
	}
	counted, sources := s.collector.sum(number)
	settled, err := s.ledger.settle(ctx, number, counted)
	if errors.Is(err, ErrTooOld) {
		s.config.Logger.Info("usage of a window given up", "window", number, "error", err.Error())
		s.finish(number, outcomeGivenUp)
		return 0
	}
	if err != nil {
		s.config.Logger.Info("usage of a window not settled", "window", number, "error", err.Error())
		return reportRetryDelay
	}
	if err := s.send(ctx, number, settled); err != nil {
		s.metrics.reports.WithLabelValues(outcomeFailed).Inc()
		s.config.Logger.Info("usage of a window not reported", "window", number, "lateMs", late.Milliseconds(), "error", err.Error())
		return reportRetryDelay
	}
	s.config.Logger.Info("usage of a window reported", "window", number, "requests", settled.total(), "counted", counted.total(),
		"sources", sources, "lateMs", late.Milliseconds())
	s.finish(number, outcomeReported)
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
