package weightorders

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// begin starts as many loads as may run at once.
func (c *Coordinator) begin(ctx context.Context, open []task, atOnce int) {
	loading, underWay := c.loadingByModel()
	for i := range open {
		open[i].load = c.config.Load(open[i].target.ID)
	}
	queue := newTurns(open, loading)
	for ; underWay < atOnce; underWay++ {
		next, found := queue.next()
		if !found {
			return
		}
		c.mutex.Lock()
		c.loading[next.target.ID] = wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true}
		c.mutex.Unlock()
		go c.bring(ctx, next)
	}
}

// loadingByModel counts the loads under way, of each model and in all.
func (c *Coordinator) loadingByModel() (loading map[string]int, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	loading = map[string]int{}
	for _, change := range c.loading {
		loading[change.Model]++
	}
	return loading, len(c.loading)
}

// bring takes one replica to a version and sees that it gets there.
func (c *Coordinator) bring(ctx context.Context, next task) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	began := time.Now()
	err := c.give(ctx, next)
	c.mutex.Lock()
	delete(c.loading, next.target.ID)
	if err != nil {
		c.leftAlone[next.target.ID] = time.Now().Add(failPause)
	}
	c.mutex.Unlock()
	change := wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: c.version(next.target.ID, next.model)}
	c.config.OnChange(change)
	if err != nil {
		c.config.Logger.Info("replica not brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"tookMs", time.Since(began).Milliseconds(), "error", err.Error())
	} else {
		c.config.Logger.Info("replica brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"from", next.has, "tookMs", time.Since(began).Milliseconds())
		c.tell(change)
		c.config.Changed()
	}
	c.nudge()
}

// give gives the order and waits until the replica has the version.
func (c *Coordinator) give(ctx context.Context, next task) error {
	report, reached, err := c.look(ctx, next)
	if err != nil || reached {
		return err
	}
	if !report.Busy {
		c.config.OnChange(wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true})
		c.config.Changed()
		holds, err := c.order(ctx, next, report.Sequence)
		if holds {
			c.learn(next.target.ID, next.model, next.version)
			return nil
		}
		if err != nil && !errors.Is(err, ErrUnanswered) {
			return err
		}
		if err == nil {
			c.loads.Inc()
			if !objectstore.Sleep(ctx, loadTime) {
				return ctx.Err()
			}
		}
	}
	return c.await(ctx, next)
}

// order sends an order under the lease.
func (c *Coordinator) order(ctx context.Context, next task, sequence int64) (holds bool, err error) {
	permit, valid := c.config.Keeper.Begin()
	if !valid {
		return false, ErrFenced
	}
	defer func() { permit.Done(!errors.Is(err, ErrUnanswered)) }()
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.config.Replicas.Order(ctx, next.target, Order{
		Model: next.model, Version: next.version, Owner: permit.Holder, Token: permit.Token, Expected: sequence,
	})
}

// idleReports is how many reports without an order under way show that an
// unanswered order has not been taken, or not yet.
const idleReports = 3

// await asks a replica until it has the version.
func (c *Coordinator) await(ctx context.Context, next task) error {
	idle := 0
	for {
		report, reached, err := c.look(ctx, next)
		if err != nil || reached {
			return err
		}
		if !report.Busy {
			if idle++; idle >= idleReports {
				return ErrUnanswered
			}
		}
		if !objectstore.Sleep(ctx, reportPause) {
			return ctx.Err()
		}
	}
}

// look asks a replica once, records what it reports, and tells whether it has
// reached the version.
func (c *Coordinator) look(ctx context.Context, next task) (report Report, reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
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
