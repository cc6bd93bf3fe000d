package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/eventstream"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// runTimeout bounds one run of an item at a replica.
const runTimeout = 20 * time.Second

// attempt is one run of an item at a replica.
type attempt struct {
	item     *item
	endpoint *routing.Endpoint
	cancel   context.CancelCauseFunc
	begun    time.Time
	// priority is that of the item's route, 0 the most urgent.
	priority int
	// events counts the events of this run, and heard is when the last came,
	// as a span since begun.
	events    atomic.Int64
	lastEvent atomic.Int64
	// after is how many events the item had before this run.
	after int
	// first is how long the first event took, and longestGap the longest time
	// between two events. They belong to the goroutine of the run.
	first      time.Duration
	longestGap time.Duration
	// took is how long the run lasted. It belongs to the goroutine of the run.
	took time.Duration
}

// idle is how long nothing has come.
func (a *attempt) idle() time.Duration {
	return time.Since(a.begun) - time.Duration(a.lastEvent.Load())
}

// cut ends the run for a reason.
func (a *attempt) cut(reason error) { a.cancel(reason) }

// launch starts an item at a replica. The mutex must be held.
func (s *scheduler) launch(waiting *item, endpoint *routing.Endpoint) {
	ctx, cancel := context.WithCancelCause(waiting.job.ctx)
	running := &attempt{item: waiting, endpoint: endpoint, cancel: cancel, begun: time.Now(), after: len(waiting.progress.events)}
	waiting.running = running
	if waiting.runs++; waiting.runs == 1 {
		waiting.waited = running.begun.Sub(waiting.job.takenUp)
	}
	s.attempts[running] = true
	s.replicas.GetOrCreate(endpoint.Name).Running++
	s.metrics.runs.Inc()
	configuration := s.config.Directory.View().Configuration
	route := routeOf(configuration, waiting.job.record.Route)
	host := waiting.job.record.Host
	singleVersion := route != nil && route.SingleVersion
	running.priority = priorityOf(configuration, waiting.job.record)
	rewardAttempts := func() int { return s.scorer.rewardAttempts(waiting) }
	go func() {
		err := s.run(ctx, running, host, singleVersion)
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		cancel(nil)
		running.took = time.Since(running.begun)
		s.runEnded(running, err)
		if err == nil {
			s.score(running, rewardAttempts)
		}
	}()
}

// run streams an item from a replica to its end.
func (s *scheduler) run(ctx context.Context, running *attempt, host string, singleVersion bool) error {
	work := running.item
	call := &dispatch.Call{
		ID: work.ID, Method: http.MethodPost, Target: work.Target, Host: host, Header: work.Header, Body: work.Body,
		Deadline: time.Now().Add(runTimeout), LastEventID: len(work.progress.events), Resumable: true, EnginePriority: dispatch.EnginePriorityOf(running.priority),
		Tenant: work.job.record.Tenant, Purpose: exchange.PurposeItem,
	}
	answer, err := s.config.Dispatcher.Send(ctx, running.endpoint, call)
	if err != nil {
		return err
	}
	defer answer.Close()
	if answer.Status != http.StatusOK {
		answer.Discard()
		return &ItemStatusError{Status: answer.Status}
	}
	version := answer.Metadata.Version
	s.learnVersion(running.endpoint.Name, work.job.submission.Model, version)
	// A replica that has nothing to add to a text names no version: it is not to be
	// taken for one with old weights, or the item runs on for ever.
	addsNothing := version == 0 && len(work.progress.events) > 0
	if err := checkVersion(version, work.job.submission.MinVersion); err != nil && !addsNothing {
		answer.Discard()
		return err
	}
	return s.receiveEvents(running, answer, version, singleVersion)
}

// receiveEvents reads the events of an answer to its end. The version is the answer's
// until an event names another.
func (s *scheduler) receiveEvents(running *attempt, answer *dispatch.Response, version int64, singleVersion bool) error {
	work := running.item
	events := eventstream.NewReader(answer, s.config.Codec.VersionField(), len(work.progress.events))
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !answer.Framed {
				return ErrUnframed
			}
			return nil
		}
		if err != nil {
			answer.Discard()
			return err
		}
		if event.Version > 0 {
			version = event.Version
			s.learnVersion(running.endpoint.Name, work.job.submission.Model, version)
		}
		if err := checkVersion(version, work.job.submission.MinVersion); err != nil {
			answer.Discard()
			return err
		}
		if singleVersion && len(work.progress.versions) > 0 && work.progress.versions[0] != version {
			s.startAnew(work)
			answer.Discard()
			return ErrOldWeights
		}
		s.receiveEvent(running, event.Data, version)
	}
}

// checkVersion tells why events of a weight version must not be used, nil where they may.
// Version 0 means that the replica named none.
func checkVersion(version, least int64) error {
	switch {
	case version >= least:
		return nil
	case version == 0:
		return ErrNoVersion
	}
	return ErrOldWeights
}

// learnVersion records a weight version that a replica's answer names.
func (s *scheduler) learnVersion(replica, model string, version int64) {
	if version <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replicas.GetOrCreate(replica).ObserveVersion(model, version)
}

// startAnew drops what an item's runs have made.
func (s *scheduler) startAnew(work *item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	work.startAnew()
}

// receiveEvent adds the next event to an item's text and learns the replica's pace from
// it.
func (s *scheduler) receiveEvent(running *attempt, event string, version int64) {
	since := time.Since(running.begun)
	interval := since - time.Duration(running.lastEvent.Swap(int64(since)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running.item.progress.add(event, version)
	if running.events.Add(1) == 1 {
		running.first = interval
		return
	}
	running.longestGap = max(running.longestGap, interval)
	s.replicas.GetOrCreate(running.endpoint.Name).Observe(interval, time.Now())
}

// runEnded ends a run: its item is finished, waits for another run, or has failed.
func (s *scheduler) runEnded(running *attempt, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	work := running.item
	delete(s.attempts, running)
	state := s.replicas.GetOrCreate(running.endpoint.Name)
	state.Running--
	work.running, work.lastRun = nil, running
	work.events = max(work.events, len(work.progress.events))
	defer s.wake.set()
	if err == nil {
		state.Failures.Observe(false, time.Now())
		s.eventRates.Of(work.job.submission.Model).Observe(work.ExpectedTokens, len(work.progress.events))
	}
	if work.job.ended || work.job.displaced || err == nil {
		return
	}
	s.handleRunError(running, state, err)
	s.config.Logger.Info("run ended early", append(running.logFields(), "error", err.Error())...)
	if work.done {
		return
	}
	s.queue = append(s.queue, work)
	s.sortQueue()
}

// logFields describes a run that has ended for the log: where it ran, how long after the
// start of the job here it began, and how its events came. Times are in milliseconds.
func (a *attempt) logFields() []any {
	work := a.item
	return []any{
		"request", work.ID, "job", work.job.id, "group", work.Group, "replica", a.endpoint.Name, "run", work.runs,
		"beganMs", a.begun.Sub(work.job.takenUp).Milliseconds(), "firstMs", a.first.Milliseconds(), "tookMs", a.took.Milliseconds(),
		"longestGapMs", a.longestGap.Milliseconds(), "fromEvent", a.after, "events", a.events.Load(), "expectedTokens", work.ExpectedTokens,
	}
}
