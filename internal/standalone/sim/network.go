package sim

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// Latencies of the simulated links, one way.
const (
	sameZone  = 200 * time.Microsecond
	crossZone = 1500 * time.Microsecond
	// crossRegion is between nodes of different regions.
	crossRegion = 30 * time.Millisecond
)

// link is an ordered pair of hosts.
type link struct{ from, to string }

// Network delivers messages between hosts, with faults.
type Network struct {
	scheduler *Scheduler
	hosts     map[string]*Host
	handlers  map[string]func(from string, message wire.Message, reply func(wire.Message))
	cut       map[link]int
	// Loss, Duplicate and Slow are the shares of messages that are lost,
	// delivered twice, or late by up to SlowBy.
	Loss      float64
	Duplicate float64
	Slow      float64
	SlowBy    time.Duration
	// checkEvery encodes and decodes every so manieth message, so that the
	// wire form is exercised too.
	checkEvery int
	count      int
}

// NewNetwork returns a network without hosts.
func NewNetwork(scheduler *Scheduler) *Network {
	return &Network{
		scheduler: scheduler, hosts: map[string]*Host{}, cut: map[link]int{}, checkEvery: 50,
		handlers: map[string]func(string, wire.Message, func(wire.Message)){},
	}
}

// Add registers a host under its name, which is its address.
func (n *Network) Add(host *Host) { n.hosts[host.Name] = host }

// Handle sets what receives a host's messages.
func (n *Network) Handle(host string, handler func(string, wire.Message, func(wire.Message))) {
	n.handlers[host] = handler
}

// Cut stops delivery from one host to another; cuts are counted, so that two
// overlapping faults need both to heal.
func (n *Network) Cut(from, to string) { n.cut[link{from, to}]++ }

// Heal takes back one Cut.
func (n *Network) Heal(from, to string) { n.cut[link{from, to}]-- }

// reaches tells whether a message sent now would arrive.
func (n *Network) reaches(from, to string) bool { return n.cut[link{from, to}] <= 0 }

// delay is the latency of one message.
func (n *Network) delay(from, to string) time.Duration {
	base := crossZone
	if sender, receiver := n.hosts[from], n.hosts[to]; sender != nil && receiver != nil {
		base = n.latencyBetween(sender, receiver)
	}
	delay := base + time.Duration(n.scheduler.Random.Int64N(int64(base)/2+1))
	if n.Slow > 0 && n.scheduler.Random.Float64() < n.Slow {
		delay += time.Duration(n.scheduler.Random.Int64N(int64(n.SlowBy) + 1))
	}
	return delay
}

func (n *Network) latencyBetween(a, b *Host) time.Duration {
	switch {
	case a.Zone == b.Zone:
		return sameZone
	case a.Region == b.Region || a.Region == outside.Region || b.Region == outside.Region:
		return crossZone
	}
	return crossRegion
}

// deliver runs a call on the receiving host after the link's latency, once,
// twice or not at all.
func (n *Network) deliver(from, to string, call func()) {
	if receiver := n.hosts[to]; receiver != nil {
		n.deliverTo(from, to, receiver.life, call)
	}
}

// deliverTo is deliver to one life of the receiver.
func (n *Network) deliverTo(from, to string, life int, call func()) {
	receiver := n.hosts[to]
	if receiver == nil || !receiver.alive || !n.reaches(from, to) || n.scheduler.Random.Float64() < n.Loss {
		return
	}
	bound := receiver.bindTo(life, call)
	n.scheduler.After(n.delay(from, to), bound)
	if n.Duplicate > 0 && n.scheduler.Random.Float64() < n.Duplicate {
		n.scheduler.After(n.delay(from, to), bound)
	}
}

func (n *Network) check(message wire.Message) wire.Message {
	n.count++
	if n.checkEvery == 0 || n.count%n.checkEvery != 0 {
		return message
	}
	encoded, err := wire.Encode(wire.Frame{Message: message})
	if err != nil {
		panic(err)
	}
	frame, err := wire.Decode(encoded[4:])
	if err != nil {
		panic(err)
	}
	return frame.Message
}

// Peers returns the transport of one host.
func (n *Network) Peers(host *Host) environment.Peers { return &simPeers{network: n, host: host} }

type simPeers struct {
	network *Network
	host    *Host
}

// Send implements environment.Peers.
func (p *simPeers) Send(address string, message wire.Message) {
	n := p.network
	sent := n.check(message)
	n.deliver(p.host.Name, address, func() {
		n.handlers[address](p.host.Name, sent, func(wire.Message) {})
	})
}

// Broadcast implements environment.Peers.
func (p *simPeers) Broadcast(addresses []string, message wire.Message) {
	for _, address := range addresses {
		p.Send(address, message)
	}
}

// Call implements environment.Peers.
func (p *simPeers) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	n := p.network
	finished, life := false, p.host.life
	finish := p.host.bind(func() {
		if !finished {
			finished = true
			done(nil, merry.Wrap(environment.ErrPeerUnreachable))
		}
	})
	n.scheduler.After(timeout, finish)
	sent := n.check(message)
	n.deliver(p.host.Name, address, func() {
		n.handlers[address](p.host.Name, sent, func(reply wire.Message) {
			answer := n.check(reply)
			n.deliverTo(address, p.host.Name, life, func() {
				if finished {
					return
				}
				finished = true
				if failure, failed := answer.(*wire.Failure); failed {
					done(nil, &wire.RemoteError{Code: wire.FailureCode(failure.Code), Detail: failure.Detail})
					return
				}
				done(answer, nil)
			})
		})
	})
}
