package weightorders

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// typicalLoadTime is the usual duration of a load. The replica is not polled earlier.
	typicalLoadTime = 800 * time.Millisecond
	// loadTimeout is the time after which a load has failed.
	loadTimeout = 6 * time.Second
	// statusPollInterval is the time between polls of a replica that is loading.
	statusPollInterval = 120 * time.Millisecond
	// callTimeout bounds one call to a replica.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the backoff of a replica after a failed load.
	retryDelay = 500 * time.Millisecond
	// maxIdlePolls is the number of polls that find the replica idle, without the version,
	// after which the order counts as not accepted.
	maxIdlePolls = 3
)

// startLoads starts pending loads until the maximum number of concurrent loads is running.
func (c *Coordinator) startLoads(ctx context.Context, pending []task, maxLoads int) {
	loading := c.loadingByModel()
	for i := range pending {
		pending[i].runningItems = c.config.RunningItems(pending[i].target.ID)
	}
	chosen := chooseLoads(pending, maps.Clone(loading), maxLoads)
	c.recordChoices(chosen, loading, time.Now())
	for _, load := range chosen {
		c.mutex.Lock()
		c.loading[load.target.ID] = wire.ReplicaVersion{Replica: load.target.ID, Model: load.model, Version: load.version, Loading: true}
		c.mutex.Unlock()
		go c.runLoad(ctx, load)
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

// runningLoads returns the number of running loads.
func (c *Coordinator) runningLoads() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.loading)
}

// runLoad makes one replica load a version, and records and announces the outcome.
func (c *Coordinator) runLoad(ctx context.Context, load task) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := time.Now()
	err := c.orderAndAwait(ctx, load)
	c.endLoad(load.target.ID, err)
	change := wire.ReplicaVersion{Replica: load.target.ID, Model: load.model, Version: c.knownVersion(load.target.ID, load.model)}
	c.config.OnChange(change)
	if err != nil {
		c.config.Logger.Info("failed to bring replica to version", "replica", load.target.ID, "model", load.model, "version", load.version,
			"tookMs", time.Since(started).Milliseconds(), "error", err.Error())
	} else {
		c.config.Logger.Info("replica brought to version", "replica", load.target.ID, "model", load.model, "version", load.version,
			"from", load.loadedVersion, "tookMs", time.Since(started).Milliseconds())
		c.addAnnounced(change)
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

// orderAndAwait orders a load, unless the replica has the version or is executing another
// order, and waits until the replica has the version.
func (c *Coordinator) orderAndAwait(ctx context.Context, load task) error {
	status, loaded, err := c.readStatus(ctx, load)
	if err != nil || loaded {
		return err
	}
	if status.Busy {
		return c.awaitVersion(ctx, load)
	}
	c.config.OnChange(wire.ReplicaVersion{Replica: load.target.ID, Model: load.model, Version: load.version, Loading: true})
	c.config.Announce()
	alreadyLoaded, err := c.sendOrder(ctx, load, status.Sequence)
	switch {
	case alreadyLoaded:
		c.recordVersion(load.target.ID, load.model, load.version)
		return nil
	case err == nil:
		c.loads.Inc()
		if !objectstore.Sleep(ctx, typicalLoadTime) {
			return ctx.Err()
		}
	case !errors.Is(err, ErrUnanswered):
		return err
	}
	return c.awaitVersion(ctx, load)
}

// sendOrder sends an order under the lease, and returns whether the replica has the version
// already.
func (c *Coordinator) sendOrder(ctx context.Context, load task, sequence int64) (alreadyLoaded bool, err error) {
	permit, valid := c.config.Elector.BeginCall()
	if !valid {
		return false, ErrFenced
	}
	defer func() { permit.Done(!errors.Is(err, ErrUnanswered)) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.config.Replicas.OrderLoad(ctx, load.target, LoadOrder{
		Model: load.model, Version: load.version, Holder: permit.Holder, Token: permit.Token, ExpectedSequence: sequence,
	})
}

// awaitVersion polls a replica until it has the version. It fails if the replica is
// repeatedly idle without it.
func (c *Coordinator) awaitVersion(ctx context.Context, load task) error {
	idle := 0
	for {
		status, loaded, err := c.readStatus(ctx, load)
		if err != nil || loaded {
			return err
		}
		if !status.Busy {
			if idle++; idle >= maxIdlePolls {
				return ErrUnanswered
			}
		}
		if !objectstore.Sleep(ctx, statusPollInterval) {
			return ctx.Err()
		}
	}
}

// readStatus reads a replica's status once, records its versions, and returns whether it
// has the version of the task.
func (c *Coordinator) readStatus(ctx context.Context, load task) (status WeightStatus, loaded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, err = c.config.Replicas.WeightStatus(ctx, load.target)
	if err != nil {
		return status, false, err
	}
	for model, version := range status.Versions {
		c.recordVersion(load.target.ID, model, version)
	}
	return status, status.Versions[load.model] >= load.version, nil
}
