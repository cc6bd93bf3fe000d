package slowstart

import "time"

// idleCheckInterval is the time between looks while nothing warms up. A replica that
// begins to warm up wakes the asker before.
const idleCheckInterval = time.Minute

// keptGate is the gate of a replica that warms up.
type keptGate struct {
	gate   *Gate
	counts *gateCounts
}

// SetWarming names all replicas that warm up. On return their gates are closed but
// for what is allotted. Those of other listed replicas are open; that of a replica
// that is gone stays closed to requests which chose it before, until it would have
// been warm.
func (a *Asker) SetWarming(warming []Warming, isListed func(replica string) bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	named := make(map[string]bool, len(warming))
	for _, replica := range warming {
		named[replica.Replica] = true
		a.bound(replica)
	}
	for replica, kept := range a.kept {
		if named[replica] {
			continue
		}
		if isListed(replica) {
			kept.gate.bounds.Store(nil)
		}
		a.forget(replica, kept)
	}
	a.metrics.warming.Set(float64(len(a.kept)))
	if len(a.kept) > 0 {
		// The asker is to know when the next is warm.
		a.wake()
	}
}

// bound closes the gate of a replica, or changes until when it is closed. The mutex
// must be held.
func (a *Asker) bound(replica Warming) {
	kept := a.kept[replica.Replica]
	if kept != nil && kept.gate != replica.Gate {
		a.forget(replica.Replica, kept)
		kept = nil
	}
	if kept == nil {
		kept = &keptGate{gate: replica.Gate, counts: &gateCounts{}}
		a.kept[replica.Replica] = kept
		kept.gate.bounds.Store(&bounds{until: replica.Until, clock: a.config.Clock, counts: kept.counts, wake: a.wake})
		a.config.Logger.Info("replica warms up", "replica", replica.Replica, "forMs", replica.Until.Sub(a.config.Clock()).Milliseconds())
		return
	}
	if standing := kept.gate.bounds.Load(); !standing.until.Equal(replica.Until) {
		next := *standing
		next.until = replica.Until
		kept.gate.bounds.Store(&next)
	}
}

// forget ends the keeping of a gate. The mutex must be held.
func (a *Asker) forget(replica string, kept *keptGate) {
	delete(a.kept, replica)
	used := kept.counts.used.Load()
	a.metrics.used.Add(float64(used))
	a.config.Logger.Info("replica is warm or gone", "replica", replica, "sentMeanwhile", used)
}

// untilNextEnd is the time until the next replica is warm.
func (a *Asker) untilNextEnd() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock()
	next := idleCheckInterval
	for _, kept := range a.kept {
		next = min(next, kept.gate.bounds.Load().until.Sub(now))
	}
	return max(0, next)
}

// releaseWarm opens the gates of the replicas that have become warm.
func (a *Asker) releaseWarm() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock()
	for replica, kept := range a.kept {
		if !now.Before(kept.gate.bounds.Load().until) {
			kept.gate.bounds.Store(nil)
			a.forget(replica, kept)
		}
	}
	a.metrics.warming.Set(float64(len(a.kept)))
}
