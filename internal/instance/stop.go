package instance

import (
	"context"
	"time"
)

const (
	// leaveTime is how long a stopping node goes on taking requests: by then
	// callers have been told to go elsewhere (docs/OPERATIONS.md).
	leaveTime = 3 * time.Second
	// quietTime is how long no request must have come before a stopping node
	// ends early.
	quietTime = 1200 * time.Millisecond
	// graceMargin is kept of the grace for closing, and closeTime is the part of it
	// that the requests left get to end and the last counts to be pushed.
	graceMargin = 900 * time.Millisecond
	closeTime   = graceMargin / 2
	// defaultGrace holds where the settings name none. Those that were loaded from
	// a file or flags always name one.
	defaultGrace = 8 * time.Second
	// handOverTime is what is kept of the grace for others to take over the batch
	// jobs that this node has not finished by then.
	handOverTime = 2500 * time.Millisecond
	// stopLook is the time between looks at what is still in progress.
	stopLook = 50 * time.Millisecond
)

// Stop is the planned stop: the node calls itself unready, serves what still
// comes with answers that end their connections, and ends when nothing is in
// progress, at most after the grace of its settings.
func (i *Instance) Stop() {
	i.stopOnce.Do(func() {
		begun := time.Now()
		i.logger.Info("planned stop begun")
		i.stopping.Store(true)
		if !i.settings.Idle {
			i.leave(begun)
		}
		i.cancel()
		i.logger.Info("planned stop ended", "tookMs", time.Since(begun).Milliseconds())
		close(i.drained)
	})
}

// leave waits until callers are gone and closes the front. Batch jobs are run
// on for most of the grace: a takeover costs more than a late end.
func (i *Instance) leave(begun time.Time) {
	i.handler.Closing.Store(true)
	i.source.Leave()
	i.handOverDuties()
	grace := spanOr(i.current.Load().Grace.Std(), defaultGrace)
	limit, handOver := begun.Add(grace-graceMargin), begun.Add(grace-handOverTime)
	given := false
	for time.Now().Before(limit) {
		if !given && (i.jobs.OpenJobs() == 0 || time.Now().After(handOver)) {
			i.jobs.Leave()
			given = true
		}
		if given && time.Since(begun) > leaveTime && i.handler.Active.Load() == 0 && i.handler.IdleTime() > quietTime {
			break
		}
		time.Sleep(stopLook)
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(closeTime))
	defer cancel()
	i.front.Shutdown(ctx)
	if i.usage != nil {
		// What was served while the node left.
		i.usage.Flush(ctx)
	}
}

// handOverDuties ends what this node does for the whole deployment, so that
// another need not wait for the lease to run out.
func (i *Instance) handOverDuties() {
	go i.duty.Release(context.Background())
	if i.usage != nil {
		go i.usage.Flush(context.Background())
	}
}

// Drained is closed when a planned stop has ended.
func (i *Instance) Drained() <-chan struct{} { return i.drained }
