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

// Table applies changes of the store and publishes views. It is safe for
// use by many goroutines.
type Table struct {
	place routing.Place
	// regions gives the region of each zone.
	regions map[string]string
	logger  klog.Logger
	// clock gives the instants from which replicas warm up.
	clock clock.Clock

	mutex sync.Mutex
	// entries is what is known of the replicas' entries.
	entries    *entryBook
	unreadable *unreadableEntries
	states     map[string]*routing.EndpointState
	// warmUps are what is known of replicas that warm up, and slowStart bounds what
	// they get; nil where it is not bounded.
	warmUps   warmUps
	slowStart SlowStart
	view      atomic.Pointer[View]
	changed   chan struct{}
}

// NewTable returns an empty table for a node in a zone, given the region of each
// zone.
func NewTable(node, zone string, regions map[string]string, logger klog.Logger) *Table {
	table := &Table{
		place: routing.Place{Node: node, Zone: zone, Region: regions[zone]}, regions: regions, logger: logger, clock: clock.Steady,
		entries:    newEntryBook(logger, clock.Steady),
		unreadable: &unreadableEntries{logger: logger, revisions: map[string]uint64{}, report: func(string) {}},
		states:     map[string]*routing.EndpointState{}, warmUps: warmUps{}, changed: make(chan struct{}),
	}
	table.entries.onKeptEnd, table.entries.onLateEntry = table.endKeeping, table.applyLateEntry
	table.view.Store(&View{Replicas: map[string]*Replica{}, Named: map[string]int64{}, Plans: map[string]*routing.Plan{}})
	return table
}

// SetClock sets the clock, which counts suspensions of the machine: that of those who send
// to replicas that warm up. It is called before the first listing.
func (t *Table) SetClock(counting clock.Clock) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.clock, t.entries.clock = counting, counting
}

// View returns the newest view.
func (t *Table) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view.
func (t *Table) Changed() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.changed
}

// SetConfiguration brings a configuration into force unless it is older than
// the one that is.
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
	t.logger.Info("configuration in force", "version", configuration.Version, "revision", revision, "routes", len(configuration.Routes),
		"tenants", configuration.Tenants.Len())
	for _, finding := range configuration.TenantFindings {
		t.logger.Error(finding, "tenant declaration passed over in part", "version", configuration.Version)
	}
	t.logUnknownHomes(configuration)
	t.publish(&next, nil)
}

// SetVersion records a named weight version unless a newer one is known.
func (t *Table) SetVersion(model string, version int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.view.Load()
	if version <= current.Named[model] {
		return
	}
	next := *current
	next.Named = maps.Clone(current.Named)
	next.Named[model] = version
	t.logger.Info("weight version named", "model", model, "version", version)
	t.publish(&next, nil)
}

// publish publishes a view in which some replicas may have changed, come or gone.
func (t *Table) publish(next *View, touched map[string]bool) {
	next.Changed = time.Now()
	t.closeGates(next, touched)
	t.view.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
}
