package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// SlowStart bounds what replicas get while they warm up.
type SlowStart interface {
	// SetWarming takes all replicas that warm up, and which replicas are listed. On
	// return none of those that warm up gets more than is allotted.
	SetWarming(warming []slowstart.Warming, isListed func(replica string) bool)
}

// SetSlowStart sets what bounds replicas that warm up. It is called before the first
// listing.
func (t *Table) SetSlowStart(slowStart SlowStart) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.slowStart = slowStart
}

// closeGates bounds the replicas that warm up in a view before it is published, so
// that no pick finds one of them without its bound. The mutex must be held.
func (t *Table) closeGates(next *View, touched map[string]bool) {
	if t.slowStart == nil {
		return
	}
	now := t.clock()
	t.warmUps.observe(now, t.view.Load(), next, touched)
	isListed := func(replica string) bool { return next.Replicas[replica] != nil }
	t.slowStart.SetWarming(t.warmUps.warming(now, next), isListed)
}

// warming lists the replicas of a view that warm up at an instant, of services whose
// rate is bounded meanwhile.
func (w warmUps) warming(now time.Time, view *View) []slowstart.Warming {
	if view.Configuration == nil {
		return nil
	}
	var warming []slowstart.Warming
	for _, replica := range w.mayWarm(view) {
		service := view.Configuration.Services[replica.Service]
		if service.WarmUpRate <= 0 {
			continue
		}
		if until := w.until(replica, view.EvacuationEnded, service.WarmUp); now.Before(until) {
			warming = append(warming, slowstart.Warming{Replica: replica.ID, Gate: &view.Endpoints[replica.ID].State.SlowStart, Until: until})
		}
	}
	return warming
}

// WarmUpRate returns how many requests a second a replica can take while it warms up, 0
// for a replica that is not known or has no bound.
func (v *View) WarmUpRate(id string) float64 {
	replica := v.Replicas[id]
	if replica == nil || v.Configuration == nil {
		return 0
	}
	return v.Configuration.Services[replica.Service].WarmUpRate
}
