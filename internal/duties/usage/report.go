package usage

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// dutyName names the reports among the duties of the lease.
	dutyName = "usage"
	// settleTime is how long after its end a window's sum is settled, or
	// settlePart of the time until its report is due where that is less. By then
	// requests that began in it have been answered and pushed; what is left is for
	// a further node to take the lease, which takes 5.7 s and more.
	settleTime = 2500 * time.Millisecond
	settlePart = 0.25
	// givenUpAfter is how many times the lateness that is allowed a report is
	// tried for. The platform wants it then still, for what it bills.
	givenUpAfter = 3
	// reportTime bounds one report, and reportPause is the time before one that
	// the platform did not take is sent again.
	reportTime  = 900 * time.Millisecond
	reportPause = 300 * time.Millisecond
	// listenTime is for how long a node must have been one that others push their
	// counts to before it settles a window. They learn of a holder that was none by
	// its word to all, look each second, and push within a quarter.
	listenTime = 1500 * time.Millisecond
	// windowLook is the time between looks for windows to report.
	windowLook = 200 * time.Millisecond
)

// report reports windows while this node holds the lease, until the context
// ends.
func (s *Service) report(ctx context.Context) {
	for {
		pause := windowLook
		s.noteInformed()
		if number, due := s.next(); !due || !s.config.Keeper.IsCandidate() {
			s.config.Keeper.Idle(dutyName)
		} else if ready, again := s.config.Keeper.Ready(ctx, dutyName); ready {
			s.noteInformed()
			if pause = s.listening(); pause <= 0 {
				pause = s.reportOne(ctx, number)
			}
		} else {
			pause = again
		}
		if !objectstore.Sleep(ctx, pause) {
			return
		}
	}
}

// noteInformed notes since when this node is one that others push to.
func (s *Service) noteInformed() {
	switch informed := slices.Contains(s.config.Keeper.Informed(followers), s.config.Node); {
	case !informed:
		s.informedAt = time.Time{}
	case s.informedAt.IsZero():
		s.informedAt = time.Now()
	}
}

// listening is for how long this node has to wait for what others push; nothing
// is left to wait for if it is not positive.
func (s *Service) listening() time.Duration {
	if s.informedAt.IsZero() {
		return windowLook
	}
	return time.Until(s.informedAt.Add(listenTime))
}

// next is the oldest window that is to be reported now.
func (s *Service) next() (number int64, due bool) {
	s.takeOwn()
	done := s.done.Load()
	number, known := s.collector.first(done)
	if done > 0 && (!known || number > done+1) && s.ranThrough(done+1) {
		// Nobody has counted anything in the next window, and this node would
		// have heard.
		number, known = done+1, true
	}
	return number, known && s.counter.sinceEnd(number, time.Now()) >= s.settleAfter()
}

// settleAfter is how long after its end a window is settled.
func (s *Service) settleAfter() time.Duration {
	return min(settleTime, time.Duration(settlePart*float64(s.config.Late)))
}

// ranThrough tells whether this node has been running for the whole of a window.
func (s *Service) ranThrough(number int64) bool {
	return s.counter.sinceEnd(number, s.started) < -s.config.Window
}

// takeOwn takes this node's own counts as another's.
func (s *Service) takeOwn() {
	windows, _ := s.counter.since(0)
	if len(windows) > 0 {
		s.collector.take(s.pusher.message(windows, time.Now()))
	}
}

// reportOne settles and reports a window, and returns when to look again.
func (s *Service) reportOne(ctx context.Context, number int64) time.Duration {
	late := s.counter.sinceEnd(number, time.Now())
	if late > givenUpAfter*s.config.Late {
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
		return reportPause
	}
	err = s.send(ctx, number, settled)
	if err != nil {
		s.metrics.reports.WithLabelValues(outcomeFailed).Inc()
		s.config.Logger.Info("usage of a window not reported", "window", number, "lateMs", late.Milliseconds(), "error", err.Error())
		return reportPause
	}
	s.config.Logger.Info("usage of a window reported", "window", number, "requests", settled.total(), "counted", counted.total(),
		"sources", sources, "lateMs", late.Milliseconds())
	s.finish(number, outcomeReported)
	return 0
}

// send sends one report under the lease.
func (s *Service) send(ctx context.Context, number int64, counts Counts) error {
	permit, valid := s.config.Keeper.Begin()
	if !valid {
		return lease.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	err := s.config.Platform.Report(ctx, Report{Window: number, Holder: permit.Holder, Token: permit.Token, Counts: counts})
	permit.Done(!errors.Is(err, lease.ErrUnanswered))
	return err
}

// finish ends the work on a window and forgets what is not needed any more.
func (s *Service) finish(number int64, outcome string) {
	s.metrics.reports.WithLabelValues(outcome).Inc()
	s.ObserveDone(number)
	s.config.Changed()
	s.forgetSettled(number)
}

// forgetSettled drops the counts that no ledger holds any more once all windows
// up to one are done.
func (s *Service) forgetSettled(done int64) {
	before := done - ledgerLength
	s.collector.forget(before)
	s.counter.forget(before)
}

// total is the number of requests of all tenants.
func (c Counts) total() uint64 {
	sum := uint64(0)
	for _, count := range c {
		sum += count
	}
	return sum
}

// FillHeartbeat adds to a heartbeat what has been reported.
func (s *Service) FillHeartbeat(beat *wire.NodeBeat) { beat.UsageDone = s.Done() }

// ReceiveHeartbeat learns from a heartbeat which windows have been reported, and drops old windows.
func (s *Service) ReceiveHeartbeat(beat *wire.NodeBeat) {
	if beat.UsageDone <= s.Done() {
		return
	}
	s.ObserveDone(beat.UsageDone)
	s.forgetSettled(beat.UsageDone)
}
