package instance

import (
	"context"
	"time"
)

const (
	// leaveTime is how long a stopping node goes on taking requests: by then
	// callers know that it is unready (docs/OPERATIONS.md).
	leaveTime = 3 * time.Second
	// quietTime is how long no request must have come before a stopping node
	// ends early.
	quietTime = 1200 * time.Millisecond
	// graceMargin is kept of the grace for closing, and closeTimeout the part of it
	// that the requests left get to end and the last counts to be pushed.
	graceMargin  = 900 * time.Millisecond
	closeTimeout = graceMargin / 2
	// handOverTime is what is kept of the grace for others to take over the batch
	// jobs that this node has not finished by then.
	handOverTime = 2500 * time.Millisecond
	// stopPollInterval is the time between checks of what is still in progress.
	stopPollInterval = 50 * time.Millisecond
)

// Stop is the planned stop: the node calls itself unready, serves what still
// comes with answers that end their connections, and ends when nothing is in
// progress, at most after the grace of its settings.
func (i *Instance) Stop() {
	i.stopOnce.Do(func() {
		begun := time.Now()
		i.logger.Info("planned stop begun")
		i.stopping.Store(true)
		if i.parts != nil {
			i.parts.leave(begun)
		}
		i.cancel()
		i.logger.Info("planned stop ended", "tookMs", time.Since(begun).Milliseconds())
		close(i.drained)
	})
}

// leave waits until callers are gone and closes the server.
func (p *parts) leave(begun time.Time) {
	p.handler.Closing.Store(true)
	p.source.AnnounceShutdown()
	p.handOverDuties()
	grace := p.live.grace()
	limit := begun.Add(grace - graceMargin)
	p.awaitCallers(begun, begun.Add(grace-handOverTime), limit)
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(closeTimeout))
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.logger.Info("requests cut by the planned stop", "error", err.Error())
	}
	if p.usage != nil {
		// What was served while the node left.
		p.usage.Flush(ctx)
	}
}

// awaitCallers waits until nothing is in progress or the limit. Batch jobs run on until
// handOver, most of the grace: a takeover costs more than a late end.
func (p *parts) awaitCallers(begun, handOver, limit time.Time) {
	given := false
	for time.Now().Before(limit) {
		if !given && (p.jobs.OpenJobCount() == 0 || time.Now().After(handOver)) {
			p.jobs.Leave()
			given = true
		}
		if given && time.Since(begun) > leaveTime && p.handler.Active.Load() == 0 && p.handler.IdleTime() > quietTime {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// handOverDuties ends what this node does for the whole deployment, so that
// another need not wait for the lease to run out.
func (p *parts) handOverDuties() {
	go p.keeper.Release(context.Background())
	if p.usage != nil {
		go p.usage.Flush(context.Background())
	}
}
