package directory

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/routing"
)

// Decoder reads the platform's objects.
type Decoder interface {
	Configuration(spec []byte) (*Configuration, error)
	Replica(name string, spec []byte) (*Replica, error)
	// Version reads a weight version that a trainer has named.
	Version(spec []byte) (model string, version int64, err error)
}

// Table applies what the informers learn and publishes views. It is safe for
// use by many goroutines.
type Table struct {
	zone   string
	logger klog.Logger

	mutex sync.Mutex
	// draining are the ids of replicas that have said they leave. They stay
	// so; an entry that only vanished may come back, since the store drops
	// entries of living replicas while it is down. Each is forgotten some time
	// after it was listed last.
	draining map[string]time.Time
	// missing are the replicas kept although their entries have vanished.
	missing map[string]*time.Timer
	states  map[string]*routing.EndpointState
	view    atomic.Pointer[View]
	changed chan struct{}
}

// NewTable returns an empty table for a node in a zone.
func NewTable(zone string, logger klog.Logger) *Table {
	table := &Table{
		zone: zone, logger: logger, draining: map[string]time.Time{}, missing: map[string]*time.Timer{},
		states: map[string]*routing.EndpointState{}, changed: make(chan struct{}),
	}
	table.view.Store(&View{Replicas: map[string]*Replica{}, Named: map[string]int64{}, Plans: map[string]*routing.Plan{}})
	return table
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
	standing := t.view.Load()
	if standing.Configuration != nil && configuration.Version <= standing.Configuration.Version {
		return
	}
	configuration.Index()
	next := *standing
	next.Configuration, next.ConfigurationRevision = configuration, revision
	t.logger.Info("configuration in force", "version", configuration.Version, "revision", revision, "routes", len(configuration.Routes),
		"tenants", configuration.Tenants.Len())
	for _, finding := range configuration.TenantFindings {
		t.logger.Error(finding, "tenant declaration passed over in part", "version", configuration.Version)
	}
	t.publish(&next)
}

// SetVersion records a named weight version unless a newer one is known.
func (t *Table) SetVersion(model string, version int64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	standing := t.view.Load()
	if version <= standing.Named[model] {
		return
	}
	next := *standing
	next.Named = maps.Clone(standing.Named)
	next.Named[model] = version
	t.logger.Info("weight version named", "model", model, "version", version)
	t.publish(&next)
}

// SetReplicas replaces the whole listing. Replicas that are not in it are kept
// for a while longer, none when keepMissing is 0.
func (t *Table) SetReplicas(replicas []*Replica, keepMissing time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	standing := next.Replicas
	next.Replicas = map[string]*Replica{}
	for _, replica := range replicas {
		t.admit(next.Replicas, replica)
	}
	for id, replica := range standing {
		if next.Replicas[id] == nil && !t.isDraining(id) {
			t.miss(next.Replicas, replica, keepMissing)
		}
	}
	next.ReplicasKnown = true
	t.publishReplicas(&next)
}

// ReplicaChange is a replica that is new or changed, or one whose entry has
// vanished if Replica is nil.
type ReplicaChange struct {
	ID      string
	Replica *Replica
}

// ApplyReplicas takes changes that came together, oldest first, and makes one
// view of them. Replicas whose entries have vanished are kept for a while
// longer, none when keepMissing is 0.
func (t *Table) ApplyReplicas(changes []ReplicaChange, keepMissing time.Duration) {
	if len(changes) == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	for _, change := range changes {
		standing := next.Replicas[change.ID]
		switch {
		case change.Replica != nil:
			t.admit(next.Replicas, change.Replica)
		case standing != nil:
			delete(next.Replicas, change.ID)
			t.miss(next.Replicas, standing, keepMissing)
		}
	}
	t.publishReplicas(&next)
}

// admit puts a replica into a listing unless it is leaving.
func (t *Table) admit(listing map[string]*Replica, replica *Replica) {
	if timer := t.missing[replica.ID]; timer != nil {
		timer.Stop()
		delete(t.missing, replica.ID)
	}
	known := t.isDraining(replica.ID)
	if replica.State != ReplicaReady && !known {
		t.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	if replica.State != ReplicaReady || known {
		t.draining[replica.ID] = time.Now()
		delete(listing, replica.ID)
		return
	}
	listing[replica.ID] = replica
}

// isDraining tells whether a replica has said that it leaves.
func (t *Table) isDraining(id string) bool {
	_, known := t.draining[id]
	return known
}

// drainMemory is for how long a replica that leaves is remembered after it was
// listed last. Ids are never used again; news older than that does not arrive.
const drainMemory = 10 * time.Minute

// forgetDrained drops the replicas that have left long ago.
func (t *Table) forgetDrained() {
	maps.DeleteFunc(t.draining, func(_ string, listed time.Time) bool { return time.Since(listed) > drainMemory })
}

// miss keeps a vanished replica in a listing for a while, or drops it.
func (t *Table) miss(listing map[string]*Replica, replica *Replica, keep time.Duration) {
	id := replica.ID
	if t.missing[id] != nil {
		listing[id] = replica
		return
	}
	t.logger.Info("replica entry vanished", "replica", id, "keptMs", keep.Milliseconds())
	if keep <= 0 {
		return
	}
	listing[id] = replica
	t.missing[id] = time.AfterFunc(keep, func() { t.drop(id) })
}

// drop ends the time that a vanished replica was kept for.
func (t *Table) drop(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.missing[id] == nil {
		return
	}
	delete(t.missing, id)
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	delete(next.Replicas, id)
	t.publishReplicas(&next)
}

// publishReplicas publishes a view with other replicas. What has not changed
// of it stays: most changes concern weights only, which no plan depends on,
// and there may be thousands of replicas.
func (t *Table) publishReplicas(next *View) {
	t.forgetDrained()
	standing := t.view.Load()
	next.Endpoints = make(map[string]*routing.Endpoint, len(next.Replicas))
	changed := map[string]bool{}
	for id, replica := range next.Replicas {
		endpoint := standing.Endpoints[id]
		if endpoint == nil || !sameEndpoint(endpoint, replica) {
			changed[replica.Service] = true
			if endpoint != nil {
				changed[endpoint.Model] = true
			}
			endpoint = t.newEndpoint(replica)
		}
		next.Endpoints[id] = endpoint
	}
	for id, endpoint := range standing.Endpoints {
		if next.Endpoints[id] == nil {
			changed[endpoint.Model] = true
			delete(t.states, id)
		}
	}
	next.Plans = t.plansOf(next.Endpoints, standing.Plans, changed)
	t.publish(next)
}

// sameEndpoint tells whether a replica is as the router knows it.
func sameEndpoint(endpoint *routing.Endpoint, replica *Replica) bool {
	return endpoint.Address == replica.Address && endpoint.Zone == replica.Zone && endpoint.Model == replica.Service &&
		endpoint.Slots == max(1, replica.Slots)
}

// newEndpoint is a replica as the router sees it.
func (t *Table) newEndpoint(replica *Replica) *routing.Endpoint {
	state := t.states[replica.ID]
	if state == nil {
		state = routing.NewEndpointState()
		state.SetView(routing.EngineView{})
		t.states[replica.ID] = state
		t.logger.Info("replica added", "replica", replica.ID, "service", replica.Service, "address", replica.Address, "zone", replica.Zone)
	}
	return routing.NewReplicaEndpoint(replica.ID, replica.Address, replica.Zone, replica.Service, replica.Slots, state)
}

// plansOf are the plans of all services; those of services that have not
// changed are the standing ones.
func (t *Table) plansOf(endpoints map[string]*routing.Endpoint, standing map[string]*routing.Plan, changed map[string]bool) map[string]*routing.Plan {
	if len(changed) == 0 {
		return standing
	}
	byService := map[string][]*routing.Endpoint{}
	for _, endpoint := range endpoints {
		if changed[endpoint.Model] {
			byService[endpoint.Model] = append(byService[endpoint.Model], endpoint)
		}
	}
	plans := maps.Clone(standing)
	for service := range changed {
		if members := byService[service]; len(members) > 0 {
			plans[service] = routing.NewPlan(t.zone, members)
		} else {
			delete(plans, service)
		}
	}
	return plans
}

func (t *Table) publish(next *View) {
	next.Changed = time.Now()
	t.view.Store(next)
	close(t.changed)
	t.changed = make(chan struct{})
}
