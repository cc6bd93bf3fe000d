package directory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Table applies changes of the metadata store and publishes views. It is safe for concurrent
// use.
type Table struct {
	locality routing.Locality
	// regions maps zones to regions.
	regions map[string]string
	logger  klog.Logger
	// clock is used for the times of warm-ups and evacuations.
	clock clock.Clock

	mutex      sync.Mutex
	entries    *entryTracker
	unreadable *unreadableEntries
	states     map[string]*routing.EndpointState
	warmUps    warmUps
	// slowStart is nil if requests to warming replicas are not limited.
	slowStart SlowStart
	view      atomic.Pointer[View]
	changed   chan struct{}
}

// NewTable returns an empty table for a node. regions maps zones to regions.
func NewTable(node, zone string, regions map[string]string, logger klog.Logger) *Table {
	table := &Table{
		locality: routing.Locality{Node: node, Zone: zone, Region: regions[zone]}, regions: regions, logger: logger, clock: clock.Monotonic,
		entries:    newEntryTracker(logger, clock.Monotonic),
		unreadable: &unreadableEntries{logger: logger, revisions: map[string]uint64{}, report: func(string) {}},
		states:     map[string]*routing.EndpointState{}, warmUps: warmUps{}, changed: make(chan struct{}),
	}
	table.entries.onKeepExpired, table.entries.onStaleEntry = table.expireKept, table.applyStaleEntry
	table.view.Store(&View{Replicas: map[string]*Replica{}, NamedVersions: map[string]int64{}, Plans: map[string]*routing.Plan{}})
	return table
}

// SetClock sets the clock. It must be the boot-time clock that the slow-start gates use,
// which does not stop while the machine is suspended. SetClock must be called before the
// first listing.
func (t *Table) SetClock(bootClock clock.Clock) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clock, t.entries.clock = bootClock, bootClock
}

// View returns the current view.
func (t *Table) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// SetConfiguration activates a configuration unless the active one is as new or newer.
func (t *Table) SetConfiguration(configuration *Configuration, revision uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.view.Load()
	if current.Configuration != nil && configuration.Version <= current.Configuration.Version {
		return
	}
	configuration.Index()
	next := *current
	next.Configuration, next.ConfigurationRevision = configuration, revision
	t.logger.Info("configuration activated", "version", configuration.Version, "revision", revision, "routes", len(configuration.Routes),
		"tenants", configuration.Tenants.Len())
	for _, finding := range configuration.TenantFindings {
		t.logger.Error(finding, "ignoring invalid part of tenant declaration", "version", configuration.Version)
	}
	t.logUnknownRegions(configuration)
	t.publish(&next, nil)
}

// SetVersion records a named weight version unless the known one is as new or newer.
func (t *Table) SetVersion(model string, version int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.view.Load()
	if version <= current.NamedVersions[model] {
		return
	}
	next := *current
	next.NamedVersions = maps.Clone(current.NamedVersions)
	next.NamedVersions[model] = version
	t.logger.Info("weight version named", "model", model, "version", version)
	t.publish(&next, nil)
}

// publish publishes a view in which the touched replicas may have been added, changed or
// removed. The mutex must be held.
func (t *Table) publish(next *View, touched map[string]bool) {
	next.Changed = time.Now()
	t.closeGates(next, touched)
	t.view.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
}
