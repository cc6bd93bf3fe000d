package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// SlowStart limits the requests to replicas that are warming up.
type SlowStart interface {
	// SetWarming replaces the list of warming replicas. When it returns, the limits of all
	// of them are in effect. isListed reports whether a replica is in the directory.
	SetWarming(warming []slowstart.WarmingReplica, isListed func(replica string) bool)
}

// SetSlowStart sets the limiter for warming replicas. It must be called before the first
// listing.
func (t *Table) SetSlowStart(slowStart SlowStart) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slowStart = slowStart
}

// closeGates applies the slow-start limits of a view. It must be called before the view is
// published, so that no pick sees a warming replica without its limit. The mutex must be
// held.
func (t *Table) closeGates(next *View, touched map[string]bool) {
	if t.slowStart == nil {
		return
	}
	now := t.clock()
	t.warmUps.observe(now, t.view.Load(), next, touched)
	isListed := func(replica string) bool { return next.Replicas[replica] != nil }
	t.slowStart.SetWarming(t.warmUps.warming(now, next), isListed)
}

// warming returns the replicas of a view that are warming up at the given time and whose
// services have a warm-up rate.
func (w warmUps) warming(now time.Time, view *View) []slowstart.WarmingReplica {
	if view.Configuration == nil {
		return nil
	}
	var warming []slowstart.WarmingReplica
	for _, replica := range w.mayBeWarming(view) {
		service := view.Configuration.Services[replica.Service]
		if service.WarmUpRate <= 0 {
			continue
		}
		if until := w.until(replica, view.EvacuationEnded, service.WarmUp); now.Before(until) {
			warming = append(warming, slowstart.WarmingReplica{Replica: replica.ID, Gate: &view.Endpoints[replica.ID].State.SlowStart, Until: until})
		}
	}
	return warming
}

// WarmUpRate returns the number of requests per second that a replica can serve while it
// warms up, or 0 if the replica is unknown or has no limit.
func (v *View) WarmUpRate(id string) float64 {
	replica := v.Replicas[id]
	if replica == nil || v.Configuration == nil {
		return 0
	}
	return v.Configuration.Services[replica.Service].WarmUpRate
}
