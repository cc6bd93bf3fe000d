package instance

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/batch"
	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/dispatch"
	"github.com/pathtally/pathtally/internal/duty"
	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/forward"
	"github.com/pathtally/pathtally/internal/ingress"
	"github.com/pathtally/pathtally/internal/peering"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/storerelay"
	"github.com/pathtally/pathtally/internal/transport"
	"github.com/pathtally/pathtally/internal/usage"
	"github.com/pathtally/pathtally/internal/watchcache"
	"github.com/pathtally/pathtally/internal/weightorders"
	"github.com/pathtally/pathtally/internal/wire"
)

// Instance is one running node.
type Instance struct {
	settings settings.Settings
	// current are the settings with the changes since the start.
	current     atomic.Pointer[settings.Settings]
	reloadMutex sync.Mutex

	adapter   Adapter
	logger    klog.Logger
	registry  *prometheus.Registry
	directory *directory.Table
	source    *watchcache.Source
	store     *storerelay.Relay
	pool      *exchange.Pool
	forwarder *forward.Forwarder
	handler   *ingress.Handler
	front     *http.Server
	transport *transport.Transport
	peers     *peering.Table
	jobs      *batch.Service
	lease     *duty.Lease
	duty      *duty.Keeper
	weights   *weightorders.Coordinator
	// usage is nil where the platform takes no reports of it.
	usage *usage.Service

	// assembled is closed once all parts of the node are there.
	assembled chan struct{}

	cancel   context.CancelFunc
	duties   sync.WaitGroup
	stopping atomic.Bool
	stopOnce sync.Once
	drained  chan struct{}
	started  time.Time
}

// Start opens the addresses of the settings and starts the node.
func Start(configured settings.Settings, adapter Adapter) (*Instance, error) {
	var duties Duties
	if configured.DutyAPI != "" {
		duties = adapter.Duties(configured.DutyAPI, configured.Duties)
	}
	opened := &listeners{}
	if !configured.Idle {
		if err := opened.open(&configured); err != nil {
			return nil, err
		}
	}
	instance := &Instance{
		settings: configured, adapter: adapter, logger: nodeLogger(configured.Node, configured.Zone),
		registry: prometheus.NewRegistry(), drained: make(chan struct{}), assembled: make(chan struct{}), started: time.Now(),
	}
	instance.current.Store(&instance.settings)
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	if configured.Idle {
		instance.logger.Info("node started", "idle", true)
		return instance, nil
	}
	instance.boundMemory()
	instance.assemble(ctx, opened.peer, duties)
	close(instance.assembled)
	instance.serve(opened)
	instance.runDuties(ctx)
	instance.logger.Info("node started", "http", configured.HTTP, "readiness", configured.Readiness, "metrics", configured.Metrics,
		"peer", configured.Peer, "objectStore", configured.ObjectStore)
	return instance, nil
}

// assemble joins the parts of the node.
func (i *Instance) assemble(ctx context.Context, peerListener net.Listener, duties Duties) {
	i.directory = directory.NewTable(i.settings.Zone, i.logger)
	i.pool = exchange.NewPool(nil)
	dispatcher := dispatch.New(i.pool, i.adapter.Headers)
	i.forwarder = forward.New(forward.Config{
		Zone: i.settings.Zone, Directory: i.directory, Dispatcher: dispatcher, Logger: i.logger, Metrics: forward.NewMetrics(i.registry),
		Prompt: i.adapter.Headers.Prompt, VersionField: i.adapter.Jobs.VersionField(), Meter: (*usageMeter)(i),
	})
	self := batch.Owner{Node: i.settings.Node, Address: i.settings.AdvertisedPeer(), Incarnation: uint64(i.started.UnixNano())}
	i.transport = transport.Listen(peerListener, transport.Config{
		Hello: wire.Hello{Protocol: wire.ProtocolVersion, Node: self.Node, Address: self.Address, Incarnation: self.Incarnation},
		Post:  func(call func()) { go call() },
		Handler: func(_ string, message wire.Message, reply func(wire.Message)) {
			// Peers may speak to this node before all of it is there.
			<-i.assembled
			i.handle(ctx, message, reply)
		},
	})
	i.peers = peering.NewTable(peering.Config{
		Node: self.Node, Address: self.Address, Zone: i.settings.Zone, Incarnation: self.Incarnation, Capacity: i.settings.Capacity(), Seeds: i.settings.Seeds,
		Store: i.adapter.Store, Peers: i.transport, Logger: i.logger, Beat: i.fillBeat, OnBeat: i.takeBeat,
		Watchers: i.watchers,
	})
	i.source = watchcache.NewSource(watchcache.Config{
		Self: watchcache.Node{Name: self.Node, Address: self.Address, Zone: i.settings.Zone}, Store: i.adapter.Store, Peers: i.transport,
		Nodes: i.followable, Joined: i.peers.Joined, ProbeKind: peering.Kind, ProbeName: self.Node, Logger: i.logger, Registry: i.registry,
	})
	i.store = storerelay.New(storerelay.Config{
		Own: i.adapter.Store, Peers: i.transport, Through: i.source.CurrentPeer, Logger: i.logger, Registry: i.registry,
	})
	i.jobs = batch.NewService(ctx, batch.Config{
		Self: self, Journal: batch.NewJournal(i.store), Codec: i.adapter.Jobs, Directory: i.directory, Dispatcher: dispatcher,
		Forwarder: i.forwarder, Peers: i.transport, Table: i.peers, Logger: i.logger, Registry: i.registry,
	})
	i.lease = duty.NewLease(self.Node, strconv.FormatUint(self.Incarnation, 36), i.settings.DutyLease.Std(), i.store)
	i.duty = duty.NewKeeper(duty.Config{
		Node: self.Node, Lease: i.lease, Logger: i.logger, Nodes: i.peers.Nodes, Heard: i.heard, Broadcast: i.peers.Broadcast,
	})
	i.weights = weightorders.NewCoordinator(weightorders.Config{
		Keeper: i.duty, Directory: i.directory, Replicas: i.adapter.Orders(i.pool), Logger: i.logger, Registry: i.registry,
		Load: i.jobs.Load, Tolerance: i.jobs.Tolerance, Demand: i.jobs.Demand, OnChange: i.jobs.NoteVersion, Changed: i.peers.Changed,
	})
	if duties.Usage != nil {
		i.usage = i.newUsage(self, duties.Usage)
	}
	i.handler = ingress.NewHandler(ingress.Config{
		Directory: i.directory, Forwarder: i.forwarder, Headers: i.adapter.Headers, Logger: i.logger,
		Jobs: &batch.Front{Service: i.jobs, Headers: i.adapter.Headers}, BodyBytes: i.settings.MemoryMB * megabyte / bodyPart,
		Metrics: ingress.NewMetrics(i.registry), ConfigurationAge: i.source.Age,
		KeyBound: func() time.Duration { return i.current.Load().KeyBound.Std() },
	})
}

const (
	megabyte = 1 << 20
	// bodyPart is the part of the memory that the bodies of requests in
	// progress may take, and collectPart that beyond which memory is given
	// back eagerly.
	bodyPart    = 4
	collectPart = 0.7
)

// boundMemory has the runtime collect eagerly near the bound of the settings.
func (i *Instance) boundMemory() {
	if i.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(collectPart * float64(i.settings.MemoryMB*megabyte)))
	}
}

// runDuties starts what works beside the requests.
func (i *Instance) runDuties(ctx context.Context) {
	kinds := i.adapter.Kinds
	decoder := i.adapter.Decoder
	i.source.Add(kinds.Configuration, directory.ConfigurationSink{Table: i.directory, Decoder: decoder, Name: kinds.ConfigurationName})
	i.source.Add(kinds.Replicas, directory.ReplicaSink{Table: i.directory, Decoder: decoder, KeepMissing: i.keepMissing})
	i.source.Add(kinds.Versions, directory.VersionSink{Table: i.directory, Decoder: decoder})
	i.source.Add(peering.Kind, i.peers)
	i.source.Add(kinds.Retirements, &retirements{
		kind: kinds.Retirements, store: i.store, codec: i.adapter.Retirements, node: i.settings.Node, nodes: i.peers.Nodes,
		logger: i.logger, ctx: ctx, pending: map[string]bool{},
	})
	i.run(func() { i.source.Run(ctx) })
	i.run(func() { i.peers.Join(ctx) })
	i.run(func() { i.boundConnections(ctx) })
	i.run(func() { i.watchCatchUp(ctx) })
	i.run(func() { i.jobs.Run(ctx) })
	i.run(func() { i.weights.Run(ctx) })
	if i.usage != nil {
		i.run(func() { i.usage.Run(ctx) })
	}
}

const (
	// defaultDrain holds where the settings name no time.
	defaultDrain = 2 * time.Second
	// missingShare is the part of it for which a vanished replica is kept: the
	// rest is for the way of the news and of requests already sent.
	missingShare = 0.65
)

// keepMissing is how long a replica whose entry vanished around an outage of
// the store is kept.
func (i *Instance) keepMissing() time.Duration {
	drain := spanOr(i.current.Load().Drain.Std(), defaultDrain)
	return time.Duration(missingShare * float64(drain))
}

func (i *Instance) run(duty func()) {
	i.duties.Add(1)
	go func() {
		defer i.duties.Done()
		duty()
	}()
}

// Ready tells whether the node takes callers.
func (i *Instance) Ready() bool { return !i.stopping.Load() && len(i.lacking()) == 0 }

// lacking names what the node does not know yet and cannot serve without.
func (i *Instance) lacking() []string {
	view := i.directory.View()
	var lacking []string
	for _, part := range []struct {
		name  string
		known bool
	}{{"configuration", view.Configuration != nil}, {"replicas", view.ReplicasKnown}, {"batch jobs", i.jobs.Recovered()}} {
		if !part.known {
			lacking = append(lacking, part.name)
		}
	}
	return lacking
}

// Name returns the node's name.
func (i *Instance) Name() string { return i.settings.Node }
