package slowstart

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	modelTick  = 5 * time.Millisecond
	modelNodes = 6
	// leaseGap is how long the lease has no holder after it expires. It is the shortest time
	// that package lease leaves between the last use by one holder and the first by the next.
	leaseGap = 3 * time.Second
	// maxMessageLatency is the maximum latency of a message.
	maxMessageLatency = 900 * time.Millisecond
	// maxSendDelay is the maximum time from a gate to the network.
	maxSendDelay = 100 * time.Millisecond
	modelRate    = 7.7
	// maxRequestedPermits is the maximum number of permits in a request of a simulated client.
	maxRequestedPermits = 8
)

var modelLimits = Limits{Overage: 1.5, Slack: 5}

// injectedFault is an injected fault that the simulation must detect.
type injectedFault struct {
	name string
	// With lifetimeFromReply, clients count PermitLifetime from the reply. With
	// allotsImmediately, new lease holders allot immediately. With losesLedger, allotters
	// lose their ledger while they hold the lease. With previousHolderAllots, previous
	// holders continue to allot. With usesExpired, clients use expired permits. With
	// shortWindow, ledgers count only the permits requested within limitPeriod.
	lifetimeFromReply, allotsImmediately, losesLedger, previousHolderAllots, usesExpired, shortWindow bool
}

// simulation simulates nodes that send requests to warming replicas. Its times are the
// simulated time since the start.
type simulation struct {
	fault  injectedFault
	random *rand.Rand
	now    time.Duration
	nodes  []*modelNode
	due    []event
	// leaseHolder holds the lease since heldSince. If it is nil, no process acquires the
	// lease before leaseFreeAt.
	leaseHolder *process
	heldSince   time.Duration
	leaseValid  bool
	leaseFreeAt time.Duration
	// slow makes all messages slow. bursty makes all nodes save their permits and use them
	// at the same time.
	slow, bursty bool
	// calm disables all disturbances of the lease, processes and messages.
	calm bool
	// sent holds the send times of the requests to each replica.
	sent map[string][]time.Duration
}

type event struct {
	at  time.Duration
	act func()
}

// modelNode is a simulated node with its own clock.
type modelNode struct {
	rate        float64
	offset      time.Duration
	process     *process
	nextRequest time.Duration
}

// process is one process of a simulated node.
type process struct {
	simulation *simulation
	node       *modelNode
	allotter   *Allotter
	client     *Client
	gates      map[string]*Gate
}

func newSimulation(seed uint64, fault injectedFault) *simulation {
	created := &simulation{fault: fault, random: rand.New(rand.NewPCG(seed, 1)), sent: map[string][]time.Duration{}}
	for range modelNodes {
		node := &modelNode{rate: 0.97 + 0.06*created.random.Float64(), offset: time.Duration(created.random.Int64N(int64(time.Hour)))}
		created.nodes = append(created.nodes, node)
		created.start(node)
	}
	return created
}

// at returns the time of the node's clock at a simulated time.
func (n *modelNode) at(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(n.offset + time.Duration(n.rate*float64(now)))
}

// start replaces the process of a node by a new one.
func (s *simulation) start(node *modelNode) {
	started := &process{simulation: s, node: node, gates: map[string]*Gate{"a": {}, "b": {}}}
	clock := func() time.Time { return node.at(s.now) }
	quiet := klog.LoggerWithValues(klog.Background()).V(9)
	started.allotter = NewAllotter(AllotterConfig{
		Limits: modelLimits, Lease: started, Rate: func(string) float64 { return modelRate }, Clock: clock, Logger: quiet, Registry: prometheus.NewRegistry(),
	})
	if s.fault.shortWindow {
		started.allotter.ledger.window = limitPeriod
	}
	started.client = NewClient(ClientConfig{Clock: clock, Allotted: func() {}, Logger: quiet, Registry: prometheus.NewRegistry()})
	var warming []WarmingReplica
	for replica, gate := range started.gates {
		warming = append(warming, WarmingReplica{Replica: replica, Gate: gate, Until: clock().Add(time.Hour)})
	}
	started.client.SetWarming(warming, isListed)
	if s.leaseHolder != nil && s.leaseHolder == node.process {
		// A node does not wait for its own lease to expire.
		s.leaseHolder, s.heldSince = started, s.now
	}
	node.process = started
}

// HeldSince implements Lease.
func (p *process) HeldSince() (time.Time, bool) {
	if p.simulation.fault.allotsImmediately {
		return time.Time{}, p.holdsLease()
	}
	return p.node.at(p.simulation.heldSince), p.holdsLease()
}

func (p *process) holdsLease() bool { return p.simulation.leaseHolder == p && p.simulation.leaseValid }

// EnsureHeld implements Lease. The simulation assigns the lease itself.
func (p *process) EnsureHeld(context.Context, string) (bool, time.Duration) { return p.holdsLease(), 0 }

// MarkIdle implements Lease.
func (p *process) MarkIdle(string) {}

// run advances the simulation until the time span.
func (s *simulation) run(span time.Duration) {
	for ; s.now < span; s.now += modelTick {
		s.disrupt()
		s.deliver()
		burst := s.random.IntN(150) == 0
		for _, node := range s.nodes {
			s.send(node.process, burst)
			if s.now >= node.nextRequest {
				node.nextRequest = s.now + requestInterval
				s.requestPermits(node.process)
			}
		}
	}
}

// disrupt disturbs the lease, a process or the messages, about once a second.
func (s *simulation) disrupt() {
	if s.leaseHolder == nil && s.now >= s.leaseFreeAt {
		s.leaseHolder, s.heldSince, s.leaseValid = s.randomNode().process, s.now, true
	}
	if s.calm || s.random.IntN(200) > 0 {
		return
	}
	switch s.random.IntN(8) {
	case 0:
		s.start(s.randomNode())
	case 1:
		// The lease is released: the next holder does not wait.
		s.leaseHolder, s.leaseFreeAt = nil, s.now
	case 2:
		s.leaseHolder, s.leaseFreeAt = nil, s.now+leaseGap
	case 3:
		if s.leaseHolder != nil {
			s.start(s.leaseHolder.node)
		}
	case 4:
		// A renewal is late, but the lease has not expired.
		s.leaseValid = !s.leaseValid
	case 5:
		if s.fault.losesLedger && s.leaseHolder != nil {
			s.leaseHolder.allotter.ledger = NewLedger()
		}
	case 6:
		s.slow = !s.slow
	case 7:
		s.bursty = !s.bursty
	}
}

func (s *simulation) randomNode() *modelNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// deliver runs the events that are due.
func (s *simulation) deliver() {
	var later []event
	due := s.due
	s.due = nil
	for _, next := range due {
		if next.at > s.now {
			later = append(later, next)
			continue
		}
		next.act()
	}
	s.due = append(s.due, later...)
}

func (s *simulation) after(span time.Duration, act func()) {
	s.due = append(s.due, event{at: s.now + span, act: act})
}

// messageLatency returns the random latency of a message.
func (s *simulation) messageLatency() time.Duration {
	if s.slow || (!s.calm && s.random.IntN(10) == 0) {
		return time.Duration(s.random.Int64N(int64(maxMessageLatency)))
	}
	return time.Duration(s.random.Int64N(int64(10 * time.Millisecond)))
}

func (s *simulation) isLost() bool { return !s.calm && s.random.IntN(10) == 0 }

// requestPermits sends a request for permits to the lease holder, or sometimes to another
// node.
func (s *simulation) requestPermits(from *process) {
	wanted := from.client.takeDemand()
	if len(wanted) == 0 {
		return
	}
	for i := range wanted {
		// The allotter must keep the limit for any number of requested permits.
		wanted[i].Count = 1 + uint32(s.random.IntN(maxRequestedPermits))
	}
	sent := from.node.at(s.now)
	to := s.randomNode()
	if s.leaseHolder != nil && (s.calm || s.random.IntN(5) > 0) {
		to = s.leaseHolder.node
	}
	if s.isLost() {
		return
	}
	s.after(s.messageLatency(), func() {
		allotted := to.process.allotter.Allot(wanted)
		if s.fault.previousHolderAllots && len(allotted) > 0 {
			to.process.allotter.config.Lease = permanentLease{to.process}
		}
		if s.isLost() {
			return
		}
		s.after(s.messageLatency(), func() { s.handleReply(from, sent, allotted) })
	})
}

func (s *simulation) handleReply(from *process, sent time.Time, allotted []wire.ReplicaCount) {
	if from.node.process != from {
		return
	}
	span := PermitLifetime
	if s.fault.lifetimeFromReply {
		sent = from.node.at(s.now)
	}
	if s.fault.usesExpired {
		span = time.Minute
	}
	from.client.addAllotments(sent, span, allotted)
}

// permanentLease is a lease that is always held.
type permanentLease struct{ *process }

// HeldSince implements Lease.
func (permanentLease) HeldSince() (time.Time, bool) { return time.Time{}, true }

// send makes a process use all its permits at random times, so that they are used in bursts.
func (s *simulation) send(from *process, burst bool) {
	for _, replica := range []string{"a", "b"} {
		gate := from.gates[replica]
		if !gate.CheckPermit() || (s.bursty && !burst) || (!s.bursty && s.random.IntN(8) > 0) {
			continue
		}
		for gate.TakePermit() {
			delay := time.Duration(s.random.Int64N(int64(maxSendDelay)))
			s.sent[replica] = append(s.sent[replica], s.now+delay)
		}
	}
}
