package slowstart

import "time"

// idleCheckInterval is the time between checks while no replica warms up. The client wakes up
// earlier when a replica starts to warm up.
const idleCheckInterval = time.Minute

// warmingGate is the closed gate of a replica that is warming up.
type warmingGate struct {
	gate   *Gate
	counts *gateCounts
}

// SetWarming replaces the list of warming replicas. When it returns, their gates are closed
// and the gates of other listed replicas are open. The gate of a replica that is no longer
// listed stays closed until its warm-up would have ended, for requests that have already
// picked it.
func (c *Client) SetWarming(warming []WarmingReplica, isListed func(replica string) bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	isWarming := make(map[string]bool, len(warming))
	for _, replica := range warming {
		isWarming[replica.Replica] = true
		c.closeGate(replica)
	}
	for replica, entry := range c.gates {
		if isWarming[replica] {
			continue
		}
		if isListed(replica) {
			entry.gate.closed.Store(nil)
		}
		c.removeGate(replica, entry)
	}
	c.metrics.warming.Set(float64(len(c.gates)))
	if len(c.gates) > 0 {
		// The time until the next replica is warm may have changed.
		c.wake()
	}
}

// closeGate closes the gate of a replica, or updates the time until which it is closed. The
// mutex must be held.
func (c *Client) closeGate(replica WarmingReplica) {
	entry := c.gates[replica.Replica]
	if entry != nil && entry.gate != replica.Gate {
		c.removeGate(replica.Replica, entry)
		entry = nil
	}
	if entry == nil {
		entry = &warmingGate{gate: replica.Gate, counts: &gateCounts{}}
		c.gates[replica.Replica] = entry
		entry.gate.closed.Store(&closedGate{until: replica.Until, clock: c.config.Clock, counts: entry.counts, wake: c.wake})
		c.config.Logger.Info("replica is warming up", "replica", replica.Replica, "forMs", replica.Until.Sub(c.config.Clock()).Milliseconds())
		return
	}
	if current := entry.gate.closed.Load(); !current.until.Equal(replica.Until) {
		next := *current
		next.until = replica.Until
		entry.gate.closed.Store(&next)
	}
}

// removeGate removes a gate from the client. The mutex must be held.
func (c *Client) removeGate(replica string, entry *warmingGate) {
	delete(c.gates, replica)
	used := entry.counts.used.Load()
	c.metrics.used.Add(float64(used))
	c.config.Logger.Info("replica is no longer warming up", "replica", replica, "sentMeanwhile", used)
}

// untilNextWarm returns the time until the next replica is warm, at most idleCheckInterval.
func (c *Client) untilNextWarm() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Clock()
	next := idleCheckInterval
	for _, entry := range c.gates {
		next = min(next, entry.gate.closed.Load().until.Sub(now))
	}
	return max(0, next)
}

// openWarmGates opens the gates of the replicas whose warm-up has ended.
func (c *Client) openWarmGates() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := c.config.Clock()
	for replica, entry := range c.gates {
		if !now.Before(entry.gate.closed.Load().until) {
			entry.gate.closed.Store(nil)
			c.removeGate(replica, entry)
		}
	}
	c.metrics.warming.Set(float64(len(c.gates)))
}
