package instance

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

const (
	// evacuationPollInterval is the time between checks while this node still has requests
	// in an evacuated zone, evacuationIdleInterval the time otherwise.
	evacuationPollInterval = 100 * time.Millisecond
	evacuationIdleInterval = time.Second
	// evacuationMargin is the fraction of the evacuation bound that is left for requests in
	// transit. The rest of the bound is the maximum age of the list of evacuations: with an
	// older list, a request may reach a zone after the bound for its evacuation.
	evacuationMargin = 0.1
)

// followEvacuations makes the directory follow the evacuations of zones if the settings
// have a bound for them. No requests are sent until the evacuations have been listed.
func (c *components) followEvacuations() {
	if c.settings.EvacuationBound.Std() <= 0 {
		return
	}
	c.directory.AssumeAllEvacuated()
	c.source.Add(c.adapter.Kinds.Evacuations, directory.EvacuationSink{Table: c.directory}, watchcache.ShortWatchTimeout)
	c.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathtally_evacuated_zones", Help: "Zones whose replicas get nothing from this node because they are evacuated.",
	}, func() float64 { return float64(len(c.directory.View().Evacuated)) }))
}

// logEvacuations logs the progress of evacuations until the context ends.
func (c *components) logEvacuations(ctx context.Context) {
	bound := c.settings.EvacuationBound.Std()
	if bound <= 0 {
		return
	}
	progress := &evacuationLogger{logger: c.logger, age: c.source.CacheAge, maxAge: bound - time.Duration(evacuationMargin*float64(bound)), empty: map[string]bool{}}
	for ctx.Err() == nil {
		changed := c.directory.Changed()
		timer := time.NewTimer(progress.check(c.directory.View()))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evacuationLogger logs the progress of evacuations. It is used by one goroutine.
type evacuationLogger struct {
	logger klog.Logger
	// age returns the time since the evacuations were last known to be current. isStale is
	// set if an age above maxAge has been logged.
	age     func() time.Duration
	maxAge  time.Duration
	isStale bool
	// empty contains the evacuated zones in which this node has no requests left.
	empty map[string]bool
}

// check logs what has changed and returns the time until the next check.
func (l *evacuationLogger) check(view *directory.View) time.Duration {
	if !view.EvacuationsUnknown {
		l.logStaleness()
	}
	for zone := range l.empty {
		if _, evacuated := view.Evacuated[zone]; !evacuated {
			delete(l.empty, zone)
		}
	}
	for zone, since := range view.Evacuated {
		if !l.empty[zone] && view.InFlightIn(zone) == 0 {
			l.empty[zone] = true
			l.logger.Info("no requests left in evacuated zone", "evacuated", zone, "afterMs", time.Since(since).Milliseconds())
		}
	}
	if len(l.empty) < len(view.Evacuated) {
		return evacuationPollInterval
	}
	return evacuationIdleInterval
}

// logStaleness logs when the evacuations are no longer known to be current, and when they
// are again.
func (l *evacuationLogger) logStaleness() {
	age := l.age()
	if stale := age > l.maxAge; stale != l.isStale {
		l.isStale = stale
		if stale {
			l.logger.Info("evacuations not known to be current", "ageMs", age.Milliseconds(), "oldestMs", l.maxAge.Milliseconds())
		} else {
			l.logger.Info("evacuations known to be current again")
		}
	}
}
