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

// itemRun is one run of an item at a replica.
type itemRun struct {
	item      *item
	endpoint  *routing.Endpoint
	cancel    context.CancelCauseFunc
	startedAt time.Time
	// priority is that of the job's items, 0 the most urgent.
	priority int
	// events counts the events received in this run. lastEvent is when the last one came,
	// in nanoseconds since the run began.
	events    atomic.Int64
	lastEvent atomic.Int64
	// expectedEvents is the number of events that the text was expected to have when the run
	// started.
	expectedEvents int
	// fromEvent is the number of events that the item had before this run.
	fromEvent int
	// firstEventDelay is the time from the start of the run to its first event, and
	// longestGap the longest time between two later ones. Only the run's goroutine
	// accesses them.
	firstEventDelay time.Duration
	longestGap      time.Duration
	// duration is the time from the start to the end of the run. Only the run's goroutine
	// writes it.
	duration time.Duration
}

// idle returns the time since the last event, or since the start of the run.
func (r *itemRun) idle() time.Duration {
	return time.Since(r.startedAt) - time.Duration(r.lastEvent.Load())
}

// abort cancels the run with a cause.
func (r *itemRun) abort(reason error) { r.cancel(reason) }

// startRun starts a run of an item at a replica. The mutex must be held.
func (s *scheduler) startRun(waiting *item, endpoint *routing.Endpoint) {
	ctx, cancel := context.WithCancelCause(waiting.job.ctx)
	running := &itemRun{item: waiting, endpoint: endpoint, cancel: cancel, startedAt: time.Now(), fromEvent: len(waiting.progress.events)}
	waiting.currentRun = running
	if waiting.runs++; waiting.runs == 1 {
		waiting.queueWait = running.startedAt.Sub(waiting.job.startedAt)
	}
	s.runs[running] = true
	state := s.replicas.GetOrCreate(endpoint.Name)
	state.Running++
	running.expectedEvents = max(s.expectedEventsOf(waiting), waiting.knownEvents())
	state.ExpectedEvents += running.expectedEvents
	s.metrics.runs.Inc()
	configuration := s.config.Directory.View().Configuration
	route := routeOf(configuration, waiting.job.record.Route)
	host := waiting.job.record.Host
	singleVersion := route != nil && route.SingleVersion
	running.priority = priorityOf(configuration, waiting.job.record)
	rewardAttempts := func() int { return s.scorer.rewardAttempts(waiting) }
	go func() {
		err := s.streamItem(ctx, running, host, singleVersion)
		if cause := context.Cause(ctx); err != nil && cause != nil {
			err = cause
		}
		cancel(nil)
		running.duration = time.Since(running.startedAt)
		s.runEnded(running, err)
		if err == nil {
			s.score(running, rewardAttempts)
		}
	}()
}

// streamItem streams an item from a replica until the stream ends.
func (s *scheduler) streamItem(ctx context.Context, running *itemRun, host string, singleVersion bool) error {
	work := running.item
	call := &dispatch.Call{
		ID: work.ID, Method: http.MethodPost, Target: work.Target, Host: host, Header: work.Header, Body: work.Body,
		Deadline: time.Now().Add(runTimeout), LastEventID: len(work.progress.events), Resumable: true, Deferred: true, EnginePriority: dispatch.EnginePriorityOf(running.priority),
		Tenant: work.job.record.Tenant, Purpose: exchange.PurposeItem,
	}
	response, err := s.config.Dispatcher.Send(ctx, running.endpoint, call)
	if err != nil {
		return err
	}
	defer response.Close()
	if response.Status != http.StatusOK {
		response.Discard()
		return &ItemStatusError{Status: response.Status}
	}
	version := response.Metadata.Version
	s.learnVersion(running.endpoint.Name, work.job.submission.Model, version)
	// A replica that has nothing to add to a complete text names no version. Treating
	// that as old weights would retry the item forever.
	addsNothing := version == 0 && len(work.progress.events) > 0
	if err := checkVersion(version, work.job.submission.MinVersion); err != nil && !addsNothing {
		response.Discard()
		return err
	}
	return s.receiveEvents(running, response, version, singleVersion)
}

// receiveEvents reads the events of a response until the stream ends. version is the
// weight version of the response, which applies until an event names another one.
func (s *scheduler) receiveEvents(running *itemRun, response *dispatch.Response, version int64, singleVersion bool) error {
	work := running.item
	events := eventstream.NewReader(response, s.config.Codec.VersionField(), len(work.progress.events))
	events.Budget = s.config.Forwarder.ResponseBudget()
	defer events.Close()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !response.Framed {
				return ErrTruncatedStream
			}
			return nil
		}
		if err != nil {
			response.Discard()
			return err
		}
		if event.Version > 0 {
			version = event.Version
			s.learnVersion(running.endpoint.Name, work.job.submission.Model, version)
		}
		if err := checkVersion(version, work.job.submission.MinVersion); err != nil {
			response.Discard()
			return err
		}
		if singleVersion && len(work.progress.versions) > 0 && work.progress.versions[0] != version {
			s.discardText(work)
			response.Discard()
			return ErrOldWeights
		}
		s.receiveEvent(running, event.Data, version)
	}
}

// checkVersion returns an error if events generated by a weight version must not be used.
// Version 0 means that the replica named none.
func checkVersion(version, minVersion int64) error {
	switch {
	case version >= minVersion:
		return nil
	case version == 0:
		return ErrNoVersion
	}
	return ErrOldWeights
}

// learnVersion records a weight version that a replica's response names.
func (s *scheduler) learnVersion(replica, model string, version int64) {
	if version <= 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replicas.GetOrCreate(replica).ObserveVersion(model, version)
}

// discardText discards an item's text, so that its next run starts from the beginning.
func (s *scheduler) discardText(work *item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	work.discardText()
}

// receiveEvent appends an event to an item's text and updates the replica's pace.
func (s *scheduler) receiveEvent(running *itemRun, event string, version int64) {
	since := time.Since(running.startedAt)
	interval := since - time.Duration(running.lastEvent.Swap(int64(since)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running.item.progress.add(event, version)
	if running.events.Add(1) == 1 {
		running.firstEventDelay = interval
		running.item.notBegun = 0
		return
	}
	running.longestGap = max(running.longestGap, interval)
	s.replicas.GetOrCreate(running.endpoint.Name).Observe(interval, time.Now())
}

// runEnded removes a run that has ended. Unless it succeeded, its item is queued again or
// abandoned.
func (s *scheduler) runEnded(running *itemRun, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	work := running.item
	delete(s.runs, running)
	state := s.replicas.GetOrCreate(running.endpoint.Name)
	state.Running--
	state.ExpectedEvents -= running.expectedEvents
	work.currentRun, work.lastRun = nil, running
	work.recordedEvents = max(work.recordedEvents, len(work.progress.events))
	defer s.wake.set()
	if err == nil {
		work.textComplete = true
		state.Failures.Observe(false, time.Now())
		s.eventRates.Of(work.job.submission.Model).Observe(work.ExpectedTokens, len(work.progress.events))
	}
	if work.job.ended || work.job.superseded || err == nil {
		return
	}
	s.handleRunError(running, state, err)
	mayHaveRun := dispatch.MayHaveRun(err)
	s.config.Logger.Info("run ended early", append(running.logFields(), "mayHaveRun", mayHaveRun, "error", err.Error())...)
	if work.done {
		return
	}
	work.queuedAt = time.Now()
	if mayHaveRun {
		work.waitingSince = work.queuedAt
	}
	s.queue = append(s.queue, work)
	s.sortQueue()
}

// logFields returns the log fields of a run that has ended. Times are in milliseconds;
// beganMs counts from the start of the job on this node.
func (r *itemRun) logFields() []any {
	work := r.item
	return []any{
		"request", work.ID, "job", work.job.id, "group", work.Group, "replica", r.endpoint.Name, "run", work.runs,
		"beganMs", r.startedAt.Sub(work.job.startedAt).Milliseconds(), "firstMs", r.firstEventDelay.Milliseconds(), "tookMs", r.duration.Milliseconds(),
		"longestGapMs", r.longestGap.Milliseconds(), "fromEvent", r.fromEvent, "events", r.events.Load(), "expectedTokens", work.ExpectedTokens,
	}
}
