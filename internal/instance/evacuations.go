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
	// evacuationPollInterval is the time between checks while a zone is evacuated and not
	// yet empty here, evacuationIdleInterval while there is none.
	evacuationPollInterval = 100 * time.Millisecond
	evacuationIdleInterval = time.Second
	// evacuationMargin is the part of the bound, between 0 and 1, that is left for a
	// request on its way: where the list of evacuations is older than the rest of the
	// bound, one may arrive too late.
	evacuationMargin = 0.1
)

// followEvacuations has the directory follow the evacuations of zones where the
// settings name a bound for them. Nothing is sent before they have been listed.
func (p *parts) followEvacuations() {
	if p.settings.EvacuationBound.Std() <= 0 {
		return
	}
	p.directory.AssumeAllEvacuated()
	p.source.Add(p.adapter.Kinds.Evacuations, directory.EvacuationSink{Table: p.directory}, watchcache.ShortWatchTimeout)
	p.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathtally_evacuated_zones", Help: "Zones whose replicas get nothing from this node because they are evacuated.",
	}, func() float64 { return float64(len(p.directory.View().Evacuated)) }))
}

// logEvacuations logs how evacuations proceed, until the context ends.
func (p *parts) logEvacuations(ctx context.Context) {
	bound := p.settings.EvacuationBound.Std()
	if bound <= 0 {
		return
	}
	watch := &evacuationWatch{logger: p.logger, age: p.source.CacheAge, maxAge: bound - time.Duration(evacuationMargin*float64(bound)), empty: map[string]bool{}}
	for ctx.Err() == nil {
		changed := p.directory.Changed()
		timer := time.NewTimer(watch.check(p.directory.View()))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evacuationWatch is what has been logged of the current evacuations. It belongs to one
// goroutine.
type evacuationWatch struct {
	logger klog.Logger
	// age returns the time since the evacuations were last known to be current. isStale
	// says that it has been logged as longer than maxAge.
	age     func() time.Duration
	maxAge  time.Duration
	isStale bool
	// empty are the evacuated zones at which no request of this node is left.
	empty map[string]bool
}

// check logs what has changed and returns the time until the next check.
func (w *evacuationWatch) check(view *directory.View) time.Duration {
	if !view.EvacuationsUnknown {
		w.logAge()
	}
	for zone := range w.empty {
		if _, evacuated := view.Evacuated[zone]; !evacuated {
			delete(w.empty, zone)
		}
	}
	for zone, since := range view.Evacuated {
		if !w.empty[zone] && view.InFlightIn(zone) == 0 {
			w.empty[zone] = true
			w.logger.Info("evacuated zone empty", "evacuated", zone, "afterMs", time.Since(since).Milliseconds())
		}
	}
	if len(w.empty) < len(view.Evacuated) {
		return evacuationPollInterval
	}
	return evacuationIdleInterval
}

// logAge logs when this node can no longer say whether its evacuations are current,
// and when it can again.
func (w *evacuationWatch) logAge() {
	age := w.age()
	if stale := age > w.maxAge; stale != w.isStale {
		w.isStale = stale
		if stale {
			w.logger.Info("evacuations not known to be current", "ageMs", age.Milliseconds(), "oldestMs", w.maxAge.Milliseconds())
		} else {
			w.logger.Info("evacuations known to be current again")
		}
	}
}
