package instance

import (
	"context"
	"time"
)

const (
	// minDrainTime is how long a stopping node continues to take requests: after that
	// callers know that it is not ready (docs/OPERATIONS.md).
	minDrainTime = 3 * time.Second
	// minIdleTime is how long a stopping node must have received no request before it stops
	// early.
	minIdleTime = 1200 * time.Millisecond
	// graceMargin is the end of the grace period that is reserved for closing, and
	// closeTimeout the part of it in which the remaining requests may end and the last
	// usage counts are pushed.
	graceMargin  = 900 * time.Millisecond
	closeTimeout = graceMargin / 2
	// jobHandoverTime is the end of the grace period that is reserved for other nodes to
	// take over unfinished batch jobs.
	jobHandoverTime = 2500 * time.Millisecond
	// stopPollInterval is the time between checks for work in progress.
	stopPollInterval = 50 * time.Millisecond
)

// Stop performs a planned stop: the node reports that it is not ready, closes the
// connection of each further request after its response, and stops when no work is in
// progress, at the latest after the grace period of its settings.
func (i *Instance) Stop() {
	i.stopOnce.Do(func() {
		begun := time.Now()
		i.logger.Info("planned stop begun")
		i.stopping.Store(true)
		if i.components != nil {
			i.components.drain(begun)
		}
		i.cancel()
		i.logger.Info("planned stop ended", "tookMs", time.Since(begun).Milliseconds())
		close(i.drained)
	})
}

// drain waits until no work is in progress and shuts down the server.
func (p *components) drain(begun time.Time) {
	p.handler.Closing.Store(true)
	p.source.AnnounceShutdown()
	p.releaseDuties()
	grace := p.live.grace()
	limit := begun.Add(grace - graceMargin)
	p.awaitRequests(begun, begun.Add(grace-jobHandoverTime), limit)
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(closeTimeout))
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		p.logger.Info("requests cut by the planned stop", "error", err.Error())
	}
	if p.usage != nil {
		// Pushes what was counted while the node drained.
		p.usage.Flush(ctx)
	}
}

// awaitRequests waits until no work is in progress, or for the limit. Batch jobs run until
// the handover, which is late in the grace period, since a takeover costs more than a late
// end.
func (p *components) awaitRequests(begun, handover, limit time.Time) {
	jobsHandedOver := false
	for time.Now().Before(limit) {
		if !jobsHandedOver && (p.jobs.OpenJobs() == 0 || time.Now().After(handover)) {
			p.jobs.Leave()
			jobsHandedOver = true
		}
		if jobsHandedOver && time.Since(begun) > minDrainTime && p.handler.Active.Load() == 0 && p.handler.IdleTime() > minIdleTime {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// releaseDuties ends the duties of this node, so that another node need not wait for the
// lease to expire.
func (p *components) releaseDuties() {
	go p.elector.Release(context.Background())
	if p.usage != nil {
		go p.usage.Flush(context.Background())
	}
}
