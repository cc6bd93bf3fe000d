package instance

import (
	"context"
	"net"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/callers/intake"
	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/jobs/cleanup"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
)

// incarnationBase is the base in which the lease object writes the number of a node's
// incarnation.
const incarnationBase = 36

// assemble creates the components of the node. Each step depends on the previous ones.
func (c *components) assemble(ctx context.Context, peerListener net.Listener, duties DutyClients) {
	c.self = jobstore.Owner{Node: c.settings.Node, Address: c.settings.AdvertisedPeer(), Incarnation: uint64(c.started.UnixNano())}
	dispatcher := c.assembleForwarding()
	c.assemblePeers(ctx, peerListener)
	c.assembleStore()
	c.assembleQuarantine(ctx)
	dispatcher.SetGuard(c.quarantine)
	jobJournal := jobstore.New(c.store)
	jobJournal.ReadByNameWhile(c.restrictsRegions)
	c.jobs = batch.NewService(ctx, batch.Config{
		Self: c.self, JobStore: jobJournal, Codec: c.adapter.Jobs, Directory: c.directory, Dispatcher: dispatcher,
		Forwarder: c.forwarder, Peers: c.transport, PeerTable: c.peers, Region: c.settings.Region, Clock: c.clock, Logger: c.logger, Registry: c.registry,
	})
	c.assembleDuties(duties)
	c.assembleIngress()
	close(c.assembled)
}

// restrictsRegions reports whether some bodies may be held in some regions only.
func (c *components) restrictsRegions() bool {
	return c.directory.View().Configuration.RestrictsRegions()
}

// suspendsCleanup reports whether ended batch jobs must not be deleted by this node now.
func (c *components) suspendsCleanup() bool {
	return c.directory.View().Configuration == nil || c.restrictsRegions()
}

// assembleForwarding creates the components that forward requests to replicas.
func (c *components) assembleForwarding() *dispatch.Dispatcher {
	c.directory = directory.NewTable(c.settings.Node, c.settings.Zone, c.settings.Regions, c.logger)
	c.directory.SetClock(c.clock)
	unreadable := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_unreadable_replica_entries_total", Help: "Changes of replicas' entries that named no replica to use, by reason.",
	}, []string{"reason"})
	c.registry.MustRegister(unreadable)
	c.directory.OnUnreadable(func(reason string) { unreadable.WithLabelValues(reason).Inc() })
	c.pool = exchange.NewPool(nil)
	c.pool.Metrics = exchange.NewMetrics(c.registry)
	dispatcher := dispatch.New(c.pool, c.adapter.Headers, dispatch.NewMetrics(c.registry))
	dispatcher.SetLogger(c.logger)
	c.forwarder = forward.New(forward.Config{
		Zone: c.settings.Zone, Directory: c.directory, Dispatcher: dispatcher, Logger: c.logger, Metrics: forward.NewMetrics(c.registry),
		PromptHash: c.adapter.Headers.PromptHash, VersionField: c.adapter.Jobs.VersionField(), Meter: usageMeter{components: c},
		MaxTotalResponseBytes: c.resources.maxBodyBytes(), RelieveResponses: c.closeUnread,
	})
	return dispatcher
}

// assemblePeers creates the table of the other nodes and starts to listen for their
// connections.
func (c *components) assemblePeers(ctx context.Context, listener net.Listener) {
	c.transport = transport.Listen(listener, transport.Config{
		Hello: wire.Hello{Protocol: wire.ProtocolVersion, Node: c.self.Node, Address: c.self.Address, Incarnation: c.self.Incarnation},
		Post:  func(call func()) { go call() },
		Handler: func(_ string, message wire.Message, reply func(wire.Message)) {
			// Peers may send messages before all components exist.
			<-c.assembled
			c.handle(ctx, message, reply)
		},
		Traffic: transport.NewTraffic(c.registry), MaxIncoming: c.resources.peerConnections(),
	})
	c.peers = peering.NewTable(peering.Config{
		Node: c.self.Node, Address: c.self.Address, Zone: c.settings.Zone, Incarnation: c.self.Incarnation, Capacity: c.settings.Capacity(), Seeds: c.settings.Seeds,
		Store: c.adapter.Store, Peers: c.transport, Logger: c.logger, FillHeartbeat: c.fillHeartbeat, OnHeartbeat: c.receiveHeartbeat,
		HeartbeatTargets: c.heartbeatTargets,
	})
	c.lookup = &peerLookup{peers: c.peers, directory: c.directory, settings: c.settings}
}

// assembleStore creates the cache of the metadata store and the path for calls to it.
func (c *components) assembleStore() {
	c.source = watchcache.NewSource(watchcache.Config{
		Self: watchcache.Node{Name: c.self.Node, Address: c.self.Address, Zone: c.settings.Zone, Capacity: c.settings.Capacity()}, Regions: c.settings.Regions, Store: c.adapter.Store, Peers: c.transport,
		Nodes: c.lookup.storeNodes, JoinAttempted: c.peers.JoinAttempted, ProbeKind: peering.NodeKind, ProbeName: c.self.Node, Clock: c.clock, Logger: c.logger, Registry: c.registry,
	})
	c.store = storerelay.New(storerelay.Config{
		Direct: c.adapter.Store, Peers: c.transport, PeerWithStoreAccess: c.source.PeerWithStoreAccess, LargeCallHelpers: c.lookup.storeHelpers, Region: c.lookup.regionAt, Logger: c.logger, Registry: c.registry,
	})
}

// assembleQuarantine creates the service that quarantines requests suspected of crashing
// replicas.
func (c *components) assembleQuarantine(ctx context.Context) {
	c.quarantine = quarantine.NewService(ctx, quarantine.Config{
		Node: c.settings.Node, Duration: c.settings.Quarantine.Std(), Prober: c.pool, Store: c.store, Peers: c.transport, Logger: c.logger,
		Registry: c.registry, Clock: c.clock, Nodes: c.peers.NodeNames, Address: c.lookup.address,
	})
}

// assembleDuties creates the duty lease and the duties that require it.
func (c *components) assembleDuties(duties DutyClients) {
	c.lease = lease.NewLease(c.self.Node, strconv.FormatUint(c.self.Incarnation, incarnationBase), c.settings.DutyLease.Std(), c.store, c.clock)
	c.elector = lease.NewElector(lease.Config{
		Node: c.self.Node, Lease: c.lease, Clock: c.clock, Logger: c.logger, Nodes: c.peers.NodeNames, SinceHeartbeat: c.lookup.sinceHeartbeat, Announce: c.peers.Announce,
	})
	c.weights = weightorders.NewCoordinator(weightorders.Config{
		Elector: c.elector, Directory: c.directory, Replicas: c.adapter.NewReplicaClient(c.pool), Logger: c.logger, Registry: c.registry,
		RunningItems: c.jobs.RunningItems, Tolerance: c.jobs.VersionTolerance, Demand: c.jobs.Demand, UsualIntervals: c.jobs.UsualIntervals, Waiting: c.jobs.Waiting, OnChange: c.jobs.LearnVersion, Announce: c.peers.ScheduleHeartbeat,
	})
	if duties.Usage != nil {
		c.usage = c.newUsage(duties.Usage)
	}
	if policy := autoscale.Policy(c.settings.ReplicaPolicy); duties.Autoscale != nil && policy != autoscale.PolicyNone {
		c.autoscale = autoscale.NewService(autoscale.Config{
			Policy: policy, Elector: c.elector, Store: c.store, Platform: duties.Autoscale, Directory: c.directory, Logger: c.logger,
			Registry: c.registry, Work: c.jobs.ItemCounts,
		})
	}
	c.cleanup = cleanup.NewService(cleanup.Config{
		Node: c.self.Node, Retention: c.settings.JobRetention.Std(), Holder: cleanup.NewLeaseHolder(c.elector, c.clock, c.settings.JobRetention.Std()), Suspended: c.suspendsCleanup,
		Store: c.store, JobStore: jobstore.New(c.store), Logger: c.logger, Registry: c.registry, Clock: c.clock,
	})
	if c.settings.WarmUpOverage > 0 {
		c.slowStart = c.newSlowStart()
		c.directory.SetSlowStart(c.slowStart.client)
	}
}

// assembleIngress creates the handler of callers' requests.
func (c *components) assembleIngress() {
	c.handler = ingress.NewHandler(ingress.Config{
		Directory: c.directory, Forwarder: c.forwarder, Headers: c.adapter.Headers, Logger: c.logger,
		Jobs: &batch.Handler{Service: c.jobs, Headers: c.adapter.Headers}, MaxTotalBodyBytes: c.resources.maxBodyBytes(),
		Metrics: ingress.NewMetrics(c.registry), ConfigurationAge: c.source.CacheAge,
		MaxConfigurationAge: c.live.keyBound, Received: intake.Received, RelieveBodies: c.closeIncomplete,
	})
}
