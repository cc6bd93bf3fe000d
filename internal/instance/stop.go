package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/ingress"
)

const (
	// minDrainTime is the minimum time for which a stopping node accepts requests. By its
	// end, callers have noticed that the node is not ready (docs/OPERATIONS.md).
	minDrainTime = 3 * time.Second
	// minIdleTime is how long a stopping node must have received no request before it stops
	// early.
	minIdleTime = 1200 * time.Millisecond
	// graceMargin is the end of the grace period that is reserved for closing, and
	// closeTimeout the part of it in which the remaining requests may end and the last
	// usage counts are pushed. Requests that are in progress after that get an error response
	// within abortTimeout.
	graceMargin  = 900 * time.Millisecond
	closeTimeout = graceMargin / 2
	abortTimeout = graceMargin / 4
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
func (c *components) drain(begun time.Time) {
	grace := c.live.grace()
	deadline := begun.Add(grace - graceMargin)
	c.handler.Stop(begun.Add(min(minDrainTime, (grace-graceMargin)/2)), deadline)
	c.source.AnnounceShutdown()
	c.releaseDuties()
	c.awaitRequests(begun, begun.Add(grace-jobHandoverTime), deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(closeTimeout))
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		c.logger.Info("planned stop aborted requests in progress", "error", err.Error())
		c.abortRequests()
	}
	if c.usage != nil {
		// Pushes what was counted while the node drained.
		c.usage.Flush(ctx)
	}
}

// abortRequests ends the requests in progress with an error response.
func (c *components) abortRequests() {
	c.cancelRequests(ingress.ErrGraceEnded)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		c.logger.Info("planned stop closed connections", "error", err.Error())
	}
}

// awaitRequests waits until no work is in progress or the deadline passes. Batch jobs run until
// the handover, which is late in the grace period, since a takeover costs more than a late
// end.
func (c *components) awaitRequests(begun, handover, deadline time.Time) {
	jobsHandedOver := false
	for time.Now().Before(deadline) {
		if !jobsHandedOver && (c.jobs.OpenJobCount() == 0 || time.Now().After(handover)) {
			c.jobs.Leave()
			jobsHandedOver = true
		}
		if jobsHandedOver && time.Since(begun) > minDrainTime && c.handler.Active.Load() == 0 && c.handler.IdleTime() > minIdleTime {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// releaseDuties ends the duties of this node, so that another node need not wait for the
// lease to expire.
func (c *components) releaseDuties() {
	go c.elector.Release(context.Background())
	if c.usage != nil {
		go c.usage.Flush(context.Background())
	}
}
