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
	// evacuationLook is the time between looks at a zone that is evacuated and not yet
	// empty here, and evacuationPause that between looks when there is none.
	evacuationLook  = 100 * time.Millisecond
	evacuationPause = time.Second
	// evacuationMargin is the part of the bound, between 0 and 1, that is left for a
	// request on its way: word of evacuations that is older than the rest of the
	// bound may let one arrive too late.
	evacuationMargin = 0.1
)

// followEvacuations has the directory follow the evacuations of zones where the
// settings name a bound for them. Nothing is sent before they have been listed.
func (i *Instance) followEvacuations() {
	if i.settings.EvacuationBound.Std() <= 0 {
		return
	}
	i.directory.AwaitEvacuations()
	i.source.Add(i.adapter.Kinds.Evacuations, directory.EvacuationSink{Table: i.directory}, watchcache.PromptWait)
	i.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathtally_evacuated_zones", Help: "Zones whose replicas get nothing from this node because they are evacuated.",
	}, func() float64 { return float64(len(i.directory.View().Evacuated)) }))
}

// watchEvacuations logs how evacuations proceed, until the context ends.
func (i *Instance) watchEvacuations(ctx context.Context) {
	bound := i.settings.EvacuationBound.Std()
	if bound <= 0 {
		return
	}
	watch := &evacuationWatch{logger: i.logger, age: i.source.Age, oldest: bound - time.Duration(evacuationMargin*float64(bound)), empty: map[string]bool{}}
	for ctx.Err() == nil {
		changed := i.directory.Changed()
		timer := time.NewTimer(watch.look(i.directory.View()))
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// evacuationWatch is what has been logged of the evacuations that stand. It belongs to
// one goroutine.
type evacuationWatch struct {
	logger klog.Logger
	// age is for how long the evacuations have not been known to be current, oldest the
	// age from which on that is logged, and isStale whether it has been.
	age     func() time.Duration
	oldest  time.Duration
	isStale bool
	// empty are the evacuated zones at which no request of this node is left.
	empty map[string]bool
}

// look logs what is new and returns when to look again.
func (w *evacuationWatch) look(view *directory.View) time.Duration {
	if !view.EvacuationsAwaited {
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
		return evacuationLook
	}
	return evacuationPause
}

// logAge logs when this node can no longer say whether its evacuations are current,
// and when it can again.
func (w *evacuationWatch) logAge() {
	age := w.age()
	if stale := age > w.oldest; stale != w.isStale {
		w.isStale = stale
		if stale {
			w.logger.Info("evacuations not known to be current", "ageMs", age.Milliseconds(), "oldestMs", w.oldest.Milliseconds())
		} else {
			w.logger.Info("evacuations known to be current again")
		}
	}
}
