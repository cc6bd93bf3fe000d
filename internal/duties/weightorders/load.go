package weightorders

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// usualLoadTime is the usual duration of a load. The replica is not polled earlier.
	usualLoadTime = 800 * time.Millisecond
	// loadTimeout is the time after which a load has failed.
	loadTimeout = 6 * time.Second
	// reportInterval is the time between polls of a replica that is loading.
	reportInterval = 120 * time.Millisecond
	// callTimeout bounds one call to a replica.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the backoff of a replica after a failed load.
	retryDelay = 500 * time.Millisecond
	// idleReports is the number of polls that find the replica idle, without the version,
	// after which the order counts as not accepted.
	idleReports = 3
)

// startLoads starts pending loads until the maximum number of concurrent loads is running.
func (c *Coordinator) startLoads(ctx context.Context, open []task, atOnce int) {
	loading := c.loadingByModel()
	for i := range open {
		open[i].runningItems = c.config.RunningItems(open[i].target.ID)
	}
	for _, next := range chooseLoads(open, loading, atOnce) {
		c.mutex.Lock()
		c.loading[next.target.ID] = wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true}
		c.mutex.Unlock()
		go c.bringToVersion(ctx, next)
	}
}

// loadingByModel returns the number of running loads by model.
func (c *Coordinator) loadingByModel() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	loading := map[string]int{}
	for _, change := range c.loading {
		loading[change.Model]++
	}
	return loading
}

// loadsUnderWay returns the number of running loads.
func (c *Coordinator) loadsUnderWay() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.loading)
}

// bringToVersion makes one replica load a version, and records and announces the outcome.
func (c *Coordinator) bringToVersion(ctx context.Context, next task) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := time.Now()
	err := c.load(ctx, next)
	c.endLoad(next.target.ID, err)
	change := wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: c.version(next.target.ID, next.model)}
	c.config.OnChange(change)
	if err != nil {
		c.config.Logger.Info("replica not brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"tookMs", time.Since(began).Milliseconds(), "error", err.Error())
	} else {
		c.config.Logger.Info("replica brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"from", next.held, "tookMs", time.Since(began).Milliseconds())
		c.keepAnnouncing(change)
		c.config.Announce()
	}
	c.wakeUp()
}

// endLoad records that a load has ended, and starts the replica's backoff if it failed.
func (c *Coordinator) endLoad(replica string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.loading, replica)
	if err != nil {
		c.retryAt[replica] = time.Now().Add(retryDelay)
	}
}

// load orders a load, unless the replica has the version or is executing another order, and
// waits until the replica has the version.
func (c *Coordinator) load(ctx context.Context, next task) error {
	report, reached, err := c.readReport(ctx, next)
	if err != nil || reached {
		return err
	}
	if report.Busy {
		return c.awaitVersion(ctx, next)
	}
	c.config.OnChange(wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true})
	c.config.Announce()
	holds, err := c.order(ctx, next, report.Sequence)
	switch {
	case holds:
		c.learn(next.target.ID, next.model, next.version)
		return nil
	case err == nil:
		c.loads.Inc()
		if !objectstore.Sleep(ctx, usualLoadTime) {
			return ctx.Err()
		}
	case !errors.Is(err, ErrUnanswered):
		return err
	}
	return c.awaitVersion(ctx, next)
}

// order sends an order under the lease, and returns whether the replica has the version
// already.
func (c *Coordinator) order(ctx context.Context, next task, sequence int64) (holds bool, err error) {
	permit, valid := c.config.Elector.BeginCall()
	if !valid {
		return false, ErrFenced
	}
	defer func() { permit.Done(!errors.Is(err, ErrUnanswered)) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Replicas.OrderLoad(ctx, next.target, LoadOrder{
		Model: next.model, Version: next.version, Holder: permit.Holder, Token: permit.Token, ExpectedSequence: sequence,
	})
}

// awaitVersion polls a replica until it has the version. It fails if the replica is
// repeatedly idle without it.
func (c *Coordinator) awaitVersion(ctx context.Context, next task) error {
	idle := 0
	for {
		report, reached, err := c.readReport(ctx, next)
		if err != nil || reached {
			return err
		}
		if !report.Busy {
			if idle++; idle >= idleReports {
				return ErrUnanswered
			}
		}
		if !objectstore.Sleep(ctx, reportInterval) {
			return ctx.Err()
		}
	}
}

// readReport reads a replica's status once, records its versions, and returns whether it
// has the version of the task.
func (c *Coordinator) readReport(ctx context.Context, next task) (report WeightStatus, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err = c.config.Replicas.WeightStatus(ctx, next.target)
	if err != nil {
		return report, false, err
	}
	for model, version := range report.Versions {
		c.learn(next.target.ID, model, version)
	}
	return report, report.Versions[next.model] >= next.version, nil
}
