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
	worldTick  = 5 * time.Millisecond
	worldNodes = 6
	// worldTerm is how long the lease has no holder after it expires. It is the shortest time
	// that package duty leaves between the last use by one holder and the first by the next.
	worldTerm = 3 * time.Second
	// longestWay is the maximum latency of a message.
	longestWay = 900 * time.Millisecond
	// longestSend is the maximum time from a gate to the network.
	longestSend = 100 * time.Millisecond
	worldRate   = 7.7
	// mostAsked is the maximum number of permits in a request of a simulated client.
	mostAsked = 8
)

var worldLimits = Limits{Overage: 1.5, Slack: 5}

// planted is an injected fault that the simulation must detect.
type planted struct {
	name string
	// With fromAnswer, clients count PermitLifetime from the reply. With atOnce, new lease holders allot
	// immediately. With forgets, allotters lose their ledger while they hold the lease. With
	// twice, previous holders continue to allot. With unused, clients use expired permits.
	// With short, ledgers count only the permits requested within limitPeriod.
	fromAnswer, atOnce, forgets, twice, unused, short bool
}

// world simulates nodes that send requests to warming replicas. Its times are the simulated
// time since the start.
type world struct {
	fault  planted
	random *rand.Rand
	now    time.Duration
	nodes  []*modelNode
	due    []event
	// holder holds the lease since the time since. If it is nil, no process acquires the
	// lease before the time free.
	holder *process
	since  time.Duration
	valid  bool
	free   time.Duration
	// slow makes all messages slow. hoarding makes all nodes save their permits and use them
	// at the same time.
	slow, hoarding bool
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
	rate    float64
	offset  time.Duration
	process *process
	nextAsk time.Duration
}

// process is one process of a simulated node.
type process struct {
	world    *world
	node     *modelNode
	allotter *Allotter
	client   *Client
	gates    map[string]*Gate
}

func newWorld(seed uint64, fault planted) *world {
	made := &world{fault: fault, random: rand.New(rand.NewPCG(seed, 1)), sent: map[string][]time.Duration{}}
	for range worldNodes {
		node := &modelNode{rate: 0.97 + 0.06*made.random.Float64(), offset: time.Duration(made.random.Int64N(int64(time.Hour)))}
		made.nodes = append(made.nodes, node)
		made.start(node)
	}
	return made
}

// at returns the time of the node's clock at a simulated time.
func (n *modelNode) at(now time.Duration) time.Time {
	return time.Unix(0, 0).Add(n.offset + time.Duration(n.rate*float64(now)))
}

// start replaces the process of a node by a new one.
func (w *world) start(node *modelNode) {
	made := &process{world: w, node: node, gates: map[string]*Gate{"a": {}, "b": {}}}
	clock := func() time.Time { return node.at(w.now) }
	quiet := klog.LoggerWithValues(klog.Background()).V(9)
	made.allotter = NewAllotter(AllotterConfig{
		Limits: worldLimits, Lease: made, Rate: func(string) float64 { return worldRate }, Clock: clock, Logger: quiet, Registry: prometheus.NewRegistry(),
	})
	if w.fault.short {
		made.allotter.ledger.window = limitPeriod
	}
	made.client = NewClient(ClientConfig{Clock: clock, Allotted: func() {}, Logger: quiet, Registry: prometheus.NewRegistry()})
	var warming []WarmingReplica
	for replica, gate := range made.gates {
		warming = append(warming, WarmingReplica{Replica: replica, Gate: gate, Until: clock().Add(time.Hour)})
	}
	made.client.SetWarming(warming, isListed)
	if w.holder != nil && w.holder == node.process {
		// A node does not wait for its own lease to expire.
		w.holder, w.since = made, w.now
	}
	node.process = made
}

// Held implements Lease.
func (p *process) Held() (time.Time, bool) {
	if p.world.fault.atOnce {
		return time.Time{}, p.holds()
	}
	return p.node.at(p.world.since), p.holds()
}

func (p *process) holds() bool { return p.world.holder == p && p.world.valid }

// Ready implements Lease. The simulation assigns the lease itself.
func (p *process) Ready(context.Context, string) (bool, time.Duration) { return p.holds(), 0 }

// Idle implements Lease.
func (p *process) Idle(string) {}

// run advances the simulation until the time span.
func (w *world) run(span time.Duration) {
	for ; w.now < span; w.now += worldTick {
		w.disrupt()
		w.deliver()
		burst := w.random.IntN(150) == 0
		for _, node := range w.nodes {
			w.send(node.process, burst)
			if w.now >= node.nextAsk {
				node.nextAsk = w.now + requestInterval
				w.ask(node.process)
			}
		}
	}
}

// disrupt disturbs the lease, a process or the messages, about once a second.
func (w *world) disrupt() {
	if w.holder == nil && w.now >= w.free {
		w.holder, w.since, w.valid = w.anyNode().process, w.now, true
	}
	if w.calm || w.random.IntN(200) > 0 {
		return
	}
	switch w.random.IntN(8) {
	case 0:
		w.start(w.anyNode())
	case 1:
		// The lease is released: the next holder does not wait.
		w.holder, w.free = nil, w.now
	case 2:
		w.holder, w.free = nil, w.now+worldTerm
	case 3:
		if w.holder != nil {
			w.start(w.holder.node)
		}
	case 4:
		// A renewal is late, but the lease has not expired.
		w.valid = !w.valid
	case 5:
		if w.fault.forgets && w.holder != nil {
			w.holder.allotter.ledger = NewLedger()
		}
	case 6:
		w.slow = !w.slow
	case 7:
		w.hoarding = !w.hoarding
	}
}

func (w *world) anyNode() *modelNode { return w.nodes[w.random.IntN(len(w.nodes))] }

// deliver runs the events that are due.
func (w *world) deliver() {
	var later []event
	due := w.due
	w.due = nil
	for _, next := range due {
		if next.at > w.now {
			later = append(later, next)
			continue
		}
		next.act()
	}
	w.due = append(w.due, later...)
}

func (w *world) after(span time.Duration, act func()) {
	w.due = append(w.due, event{at: w.now + span, act: act})
}

// way returns the random latency of a message.
func (w *world) way() time.Duration {
	if w.slow || (!w.calm && w.random.IntN(10) == 0) {
		return time.Duration(w.random.Int64N(int64(longestWay)))
	}
	return time.Duration(w.random.Int64N(int64(10 * time.Millisecond)))
}

func (w *world) isLost() bool { return !w.calm && w.random.IntN(10) == 0 }

// ask sends a request for permits to the lease holder, or sometimes to another node.
func (w *world) ask(from *process) {
	wanted := from.client.takeDemand()
	if len(wanted) == 0 {
		return
	}
	for i := range wanted {
		// The allotter must keep the limit for any number of requested permits.
		wanted[i].Count = 1 + uint32(w.random.IntN(mostAsked))
	}
	sent := from.node.at(w.now)
	to := w.anyNode()
	if w.holder != nil && (w.calm || w.random.IntN(5) > 0) {
		to = w.holder.node
	}
	if w.isLost() {
		return
	}
	w.after(w.way(), func() {
		allotted := to.process.allotter.Allot(wanted)
		if w.fault.twice && len(allotted) > 0 {
			to.process.allotter.config.Lease = forever{to.process}
		}
		if w.isLost() {
			return
		}
		w.after(w.way(), func() { w.answer(from, sent, allotted) })
	})
}

func (w *world) answer(from *process, sent time.Time, allotted []wire.ReplicaCount) {
	if from.node.process != from {
		return
	}
	span := PermitLifetime
	if w.fault.fromAnswer {
		sent = from.node.at(w.now)
	}
	if w.fault.unused {
		span = time.Minute
	}
	from.client.addAllotments(sent, span, allotted)
}

// forever is a lease that is always held.
type forever struct{ *process }

// Held implements Lease.
func (forever) Held() (time.Time, bool) { return time.Time{}, true }

// send makes a process use all its permits at random times, so that they are used in bursts.
func (w *world) send(from *process, burst bool) {
	for _, replica := range []string{"a", "b"} {
		gate := from.gates[replica]
		if !gate.CheckPermit() || (w.hoarding && !burst) || (!w.hoarding && w.random.IntN(8) > 0) {
			continue
		}
		for gate.TakePermit() {
			delay := time.Duration(w.random.Int64N(int64(longestSend)))
			w.sent[replica] = append(w.sent[replica], w.now+delay)
		}
	}
}
