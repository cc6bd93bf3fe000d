package weightorders

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// usualLoadTime is about what a load takes: a replica is not asked before.
	usualLoadTime = 800 * time.Millisecond
	// loadTimeout is when a load counts as failed.
	loadTimeout = 6 * time.Second
	// reportInterval is the time between questions to a replica that loads.
	reportInterval = 120 * time.Millisecond
	// callTimeout bounds one call to a replica.
	callTimeout = 900 * time.Millisecond
	// retryDelay is how long a replica is left alone after a failed load.
	retryDelay = 500 * time.Millisecond
	// idleReports is how many reports without an order under way show that an
	// unanswered order has not been taken, or not yet.
	idleReports = 3
)

// startLoads starts as many loads as may run at once.
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

// loadingByModel counts the loads under way of each model.
func (c *Coordinator) loadingByModel() map[string]int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	loading := map[string]int{}
	for _, change := range c.loading {
		loading[change.Model]++
	}
	return loading
}

// loadsUnderWay counts the loads under way.
func (c *Coordinator) loadsUnderWay() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.loading)
}

// bringToVersion brings one replica to a version, and records and announces the outcome.
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

// endLoad records that a load has ended, with an error if it failed.
func (c *Coordinator) endLoad(replica string, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.loading, replica)
	if err != nil {
		c.retryAt[replica] = time.Now().Add(retryDelay)
	}
}

// load orders a load, unless the replica has the version or another order is under way,
// and waits until the replica has the version.
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

// order sends an order under the lease.
func (c *Coordinator) order(ctx context.Context, next task, sequence int64) (holds bool, err error) {
	permit, valid := c.config.Keeper.Begin()
	if !valid {
		return false, ErrFenced
	}
	defer func() { permit.Done(!errors.Is(err, ErrUnanswered)) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Replicas.Order(ctx, next.target, Order{
		Model: next.model, Version: next.version, Owner: permit.Holder, Token: permit.Token, Expected: sequence,
	})
}

// awaitVersion asks a replica until it has the version, or seems to have taken no order.
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

// readReport asks a replica once, records what it reports, and returns whether it has
// reached the version.
func (c *Coordinator) readReport(ctx context.Context, next task) (report Report, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err = c.config.Replicas.Report(ctx, next.target)
	if err != nil {
		return report, false, err
	}
	for model, version := range report.Versions {
		c.learn(next.target.ID, model, version)
	}
	return report, report.Versions[next.model] >= next.version, nil
}
