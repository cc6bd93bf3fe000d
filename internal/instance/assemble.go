package instance

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/callers/ingress"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/duty"
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/jobs/batch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/storerelay"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
)

// nonceBase is the number base in which the lease names a process.
const nonceBase = 36

// assemble joins the parts of the node. Each step needs those before it.
func (i *Instance) assemble(ctx context.Context, peerListener net.Listener, duties Duties) {
	self := batch.Owner{Node: i.settings.Node, Address: i.settings.AdvertisedPeer(), Incarnation: uint64(i.started.UnixNano())}
	dispatcher := i.assembleForwarding()
	i.assemblePeers(ctx, peerListener, self)
	i.assembleStore(self)
	i.quarantine = i.newQuarantine(ctx)
	dispatcher.SetGuard(i.quarantine)
	journal := batch.NewJournal(i.store)
	journal.ReadApart(func() bool { return i.directory.View().Configuration.DeclaresHomes() })
	i.jobs = batch.NewService(ctx, batch.Config{
		Self: self, Journal: journal, Codec: i.adapter.Jobs, Directory: i.directory, Dispatcher: dispatcher,
		Forwarder: i.forwarder, Peers: i.transport, Table: i.peers, Region: i.settings.Region, Clock: i.clock, Logger: i.logger, Registry: i.registry,
	})
	i.assembleDuties(self, duties)
	i.assembleIngress()
}

// assembleForwarding makes what brings requests to replicas.
func (i *Instance) assembleForwarding() *dispatch.Dispatcher {
	i.directory = directory.NewTable(i.settings.Node, i.settings.Zone, i.settings.Regions, i.logger)
	i.directory.SetClock(i.clock)
	unreadable := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_unreadable_replica_entries_total", Help: "Changes of replicas' entries that named no replica to use, by reason.",
	}, []string{"reason"})
	i.registry.MustRegister(unreadable)
	i.directory.OnUnreadable(func(reason string) { unreadable.WithLabelValues(reason).Inc() })
	i.pool = exchange.NewPool(nil)
	i.pool.Metrics = exchange.NewMetrics(i.registry)
	dispatcher := dispatch.New(i.pool, i.adapter.Headers, dispatch.NewMetrics(i.registry))
	i.forwarder = forward.New(forward.Config{
		Zone: i.settings.Zone, Directory: i.directory, Dispatcher: dispatcher, Logger: i.logger, Metrics: forward.NewMetrics(i.registry),
		Prompt: i.adapter.Headers.Prompt, VersionField: i.adapter.Jobs.VersionField(), Meter: (*usageMeter)(i),
	})
	return dispatcher
}

// assemblePeers makes the list of the other nodes and listens to them.
func (i *Instance) assemblePeers(ctx context.Context, listener net.Listener, self batch.Owner) {
	i.transport = transport.Listen(listener, transport.Config{
		Hello: wire.Hello{Protocol: wire.ProtocolVersion, Node: self.Node, Address: self.Address, Incarnation: self.Incarnation},
		Post:  func(call func()) { go call() },
		Handler: func(_ string, message wire.Message, reply func(wire.Message)) {
			// Peers may speak to this node before all of it is there.
			<-i.assembled
			i.handle(ctx, message, reply)
		},
		Traffic: transport.NewTraffic(i.registry),
	})
	i.peers = peering.NewTable(peering.Config{
		Node: self.Node, Address: self.Address, Zone: i.settings.Zone, Incarnation: self.Incarnation, Capacity: i.settings.Capacity(), Seeds: i.settings.Seeds,
		Store: i.adapter.Store, Peers: i.transport, Logger: i.logger, FillHeartbeat: i.fillHeartbeat, OnHeartbeat: i.receiveHeartbeat,
		Watchers: i.watchers,
	})
}

// assembleStore makes the copies of the metadata store and the way to it.
func (i *Instance) assembleStore(self batch.Owner) {
	i.source = watchcache.NewSource(watchcache.Config{
		Self: watchcache.Node{Name: self.Node, Address: self.Address, Zone: i.settings.Zone, Capacity: i.settings.Capacity()}, Regions: i.settings.Regions, Store: i.adapter.Store, Peers: i.transport,
		Nodes: i.followable, Joined: i.peers.JoinAttempted, ProbeKind: peering.Kind, ProbeName: self.Node, Clock: i.clock, Logger: i.logger, Registry: i.registry,
	})
	i.store = storerelay.New(storerelay.Config{
		Own: i.adapter.Store, Peers: i.transport, CurrentPeer: i.source.CurrentPeer, LargeCallHelpers: i.helpers, Region: i.regionAt, Logger: i.logger, Registry: i.registry,
	})
}

// assembleDuties makes the lease and what is done under it.
func (i *Instance) assembleDuties(self batch.Owner, duties Duties) {
	i.lease = duty.NewLease(self.Node, strconv.FormatUint(self.Incarnation, nonceBase), i.settings.DutyLease.Std(), i.store, i.clock)
	i.duty = duty.NewKeeper(duty.Config{
		Node: self.Node, Lease: i.lease, Clock: i.clock, Logger: i.logger, Nodes: i.peers.Nodes, Silence: i.silence, Tell: i.peers.Announce,
	})
	i.weights = weightorders.NewCoordinator(weightorders.Config{
		Keeper: i.duty, Directory: i.directory, Replicas: i.adapter.Orders(i.pool), Logger: i.logger, Registry: i.registry,
		Load: i.jobs.Load, Tolerance: i.jobs.Tolerance, Demand: i.jobs.Demand, OnChange: i.jobs.NoteVersion, Changed: i.peers.HeartbeatSoon,
	})
	if duties.Usage != nil {
		i.usage = i.newUsage(self, duties.Usage)
	}
	if policy := autoscale.Policy(i.settings.ReplicaPolicy); duties.Replicas != nil && policy != autoscale.PolicyNone {
		i.autoscale = autoscale.NewService(autoscale.Config{
			Policy: policy, Keeper: i.duty, Store: i.store, Platform: duties.Replicas, Directory: i.directory, Logger: i.logger,
			Registry: i.registry, Work: i.jobs.OpenWork,
		})
	}
	if i.settings.WarmUpOverage > 0 {
		i.slowStart = i.newSlowStart()
		i.directory.SetSlowStart(i.slowStart.asker)
	}
}

// assembleIngress makes what answers callers.
func (i *Instance) assembleIngress() {
	i.handler = ingress.NewHandler(ingress.Config{
		Directory: i.directory, Forwarder: i.forwarder, Headers: i.adapter.Headers, Logger: i.logger,
		Jobs: &batch.Front{Service: i.jobs, Headers: i.adapter.Headers}, BodyBytes: i.bodyBytes(),
		Metrics: ingress.NewMetrics(i.registry), ConfigurationAge: i.source.Age,
		KeyBound: func() time.Duration { return i.current.Load().KeyBound.Std() },
	})
}
