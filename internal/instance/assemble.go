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
	"github.com/pathtally/pathtally/internal/callers/quarantine"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
)

// incarnationBase is the number base in which the lease object names a node's incarnation.
const incarnationBase = 36

// assemble creates the components of the node. Each step depends on the previous ones.
func (p *components) assemble(ctx context.Context, peerListener net.Listener, duties Duties) {
	p.self = jobstore.Owner{Node: p.settings.Node, Address: p.settings.AdvertisedPeer(), Incarnation: uint64(p.started.UnixNano())}
	dispatcher := p.assembleForwarding()
	p.assemblePeers(ctx, peerListener)
	p.assembleStore()
	p.assembleQuarantine(ctx)
	dispatcher.SetGuard(p.quarantine)
	jobJournal := jobstore.New(p.store)
	jobJournal.ReadByNameWhile(func() bool { return p.directory.View().Configuration.RestrictsRegions() })
	p.jobs = batch.NewService(ctx, batch.Config{
		Self: p.self, JobStore: jobJournal, Codec: p.adapter.Jobs, Directory: p.directory, Dispatcher: dispatcher,
		Forwarder: p.forwarder, Peers: p.transport, Table: p.peers, Region: p.settings.Region, Clock: p.clock, Logger: p.logger, Registry: p.registry,
	})
	p.assembleDuties(duties)
	p.assembleIngress()
	close(p.assembled)
}

// assembleForwarding creates the components that forward requests to replicas.
func (p *components) assembleForwarding() *dispatch.Dispatcher {
	p.directory = directory.NewTable(p.settings.Node, p.settings.Zone, p.settings.Regions, p.logger)
	p.directory.SetClock(p.clock)
	unreadable := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_unreadable_replica_entries_total", Help: "Changes of replicas' entries that named no replica to use, by reason.",
	}, []string{"reason"})
	p.registry.MustRegister(unreadable)
	p.directory.OnUnreadable(func(reason string) { unreadable.WithLabelValues(reason).Inc() })
	p.pool = exchange.NewPool(nil)
	p.pool.Metrics = exchange.NewMetrics(p.registry)
	dispatcher := dispatch.New(p.pool, p.adapter.Headers, dispatch.NewMetrics(p.registry))
	p.forwarder = forward.New(forward.Config{
		Zone: p.settings.Zone, Directory: p.directory, Dispatcher: dispatcher, Logger: p.logger, Metrics: forward.NewMetrics(p.registry),
		PromptHash: p.adapter.Headers.Prompt, VersionField: p.adapter.Jobs.VersionField(), Meter: usageMeter{components: p},
	})
	return dispatcher
}

// assemblePeers creates the table of the other nodes and starts to listen for their
// connections.
func (p *components) assemblePeers(ctx context.Context, listener net.Listener) {
	p.transport = transport.Listen(listener, transport.Config{
		Hello: wire.Hello{Protocol: wire.ProtocolVersion, Node: p.self.Node, Address: p.self.Address, Incarnation: p.self.Incarnation},
		Post:  func(call func()) { go call() },
		Handler: func(_ string, message wire.Message, reply func(wire.Message)) {
			// Peers may send messages before all components exist.
			<-p.assembled
			p.handle(ctx, message, reply)
		},
		Traffic: transport.NewTraffic(p.registry),
	})
	p.peers = peering.NewTable(peering.Config{
		Node: p.self.Node, Address: p.self.Address, Zone: p.settings.Zone, Incarnation: p.self.Incarnation, Capacity: p.settings.Capacity(), Seeds: p.settings.Seeds,
		Store: p.adapter.Store, Peers: p.transport, Logger: p.logger, FillHeartbeat: p.fillHeartbeat, OnHeartbeat: p.receiveHeartbeat,
		HeartbeatTargets: p.heartbeatTargets,
	})
	p.lookup = &peerLookup{peers: p.peers, directory: p.directory, settings: p.settings}
}

// assembleStore creates the cache of the metadata store and the path for calls to it.
func (p *components) assembleStore() {
	p.source = watchcache.NewSource(watchcache.Config{
		Self: watchcache.Node{Name: p.self.Node, Address: p.self.Address, Zone: p.settings.Zone, Capacity: p.settings.Capacity()}, Regions: p.settings.Regions, Store: p.adapter.Store, Peers: p.transport,
		Nodes: p.lookup.storeNodes, JoinAttempted: p.peers.JoinAttempted, ProbeKind: peering.NodeKind, ProbeName: p.self.Node, Clock: p.clock, Logger: p.logger, Registry: p.registry,
	})
	p.store = storerelay.New(storerelay.Config{
		Direct: p.adapter.Store, Peers: p.transport, PeerWithStoreAccess: p.source.PeerWithStoreAccess, LargeCallHelpers: p.lookup.storeHelpers, Region: p.lookup.regionAt, Logger: p.logger, Registry: p.registry,
	})
}

// assembleQuarantine creates the service that quarantines requests suspected of crashing
// replicas.
func (p *components) assembleQuarantine(ctx context.Context) {
	p.quarantine = quarantine.NewService(ctx, quarantine.Config{
		Node: p.settings.Node, Duration: p.settings.Quarantine.Std(), Prober: p.pool, Store: p.store, Peers: p.transport, Logger: p.logger,
		Registry: p.registry, Clock: p.clock, Nodes: p.peers.NodeNames, Address: p.lookup.address,
	})
}

// assembleDuties creates the duty lease and the duties that require it.
func (p *components) assembleDuties(duties Duties) {
	p.lease = lease.NewLease(p.self.Node, strconv.FormatUint(p.self.Incarnation, incarnationBase), p.settings.DutyLease.Std(), p.store, p.clock)
	p.elector = lease.NewElector(lease.Config{
		Node: p.self.Node, Lease: p.lease, Clock: p.clock, Logger: p.logger, Nodes: p.peers.NodeNames, SinceHeartbeat: p.lookup.sinceHeartbeat, Announce: p.peers.Announce,
	})
	p.weights = weightorders.NewCoordinator(weightorders.Config{
		Elector: p.elector, Directory: p.directory, Replicas: p.adapter.Orders(p.pool), Logger: p.logger, Registry: p.registry,
		RunningItems: p.jobs.Load, Tolerance: p.jobs.Tolerance, Demand: p.jobs.Demand, OnChange: p.jobs.LearnVersion, Announce: p.peers.ScheduleHeartbeat,
	})
	if duties.Usage != nil {
		p.usage = p.newUsage(duties.Usage)
	}
	if policy := autoscale.Policy(p.settings.ReplicaPolicy); duties.Replicas != nil && policy != autoscale.PolicyNone {
		p.autoscale = autoscale.NewService(autoscale.Config{
			Policy: policy, Elector: p.elector, Store: p.store, Platform: duties.Replicas, Directory: p.directory, Logger: p.logger,
			Registry: p.registry, Work: p.jobs.OpenWork,
		})
	}
	if p.settings.WarmUpOverage > 0 {
		p.slowStart = p.newSlowStart()
		p.directory.SetSlowStart(p.slowStart.client)
	}
}

// assembleIngress creates the handler of callers' requests.
func (p *components) assembleIngress() {
	p.handler = ingress.NewHandler(ingress.Config{
		Directory: p.directory, Forwarder: p.forwarder, Headers: p.adapter.Headers, Logger: p.logger,
		Jobs: &batch.Handler{Service: p.jobs, Headers: p.adapter.Headers}, BodyBytes: maxBodyBytes(p.settings.MemoryMB),
		Metrics: ingress.NewMetrics(p.registry), ConfigurationAge: p.source.CacheAge,
		KeyBound: p.live.keyBound,
	})
}
