package sim

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/samplestore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// stopGrace is how long a planned stop waits for requests; it is longer
	// than any request's deadline.
	stopGrace        = 30 * time.Second
	stopPollInterval = 50 * time.Millisecond
)

// Node is a simulated node: the real Core on a simulated host.
type Node struct {
	world    *World
	host     *Host
	disk     *Disk
	core     *node.Core
	gateway  *Gateway
	stopping bool
	member   wire.Member
	// watchers are called when this life of the node ends.
	watchers []func()
}

// onDeath registers a call for the end of the node's life.
func (n *Node) onDeath(call func()) { n.watchers = append(n.watchers, call) }

func newNode(world *World, name string, where Place, storage bool) *Node {
	simulated := &Node{world: world, host: NewHost(world.Scheduler, name, where)}
	if storage {
		simulated.disk = &Disk{}
	}
	world.Network.Add(simulated.host)
	return simulated
}

// Start begins a new life of the node; nothing but the disk is left of an
// earlier one.
func (n *Node) Start() {
	n.host.start()
	n.stopping = false
	now := n.world.Scheduler.Now()
	n.member = wire.Member{
		ID: n.host.Name, Address: n.host.Name, HTTP: n.host.Name, Zone: n.host.Zone, Region: n.host.Region,
		Incarnation: uint64(now.UnixMilli()), Storage: n.disk != nil,
	}
	store, journal := n.openDisk()
	platform := n.world.Platform.Client(n.host)
	n.core = node.NewCore(node.Config{
		Self: n.member, Seeds: n.world.seeds(n.host.Name), Clock: n.host,
		Random: rand.New(rand.NewPCG(n.world.Scheduler.Random.Uint64(), rendezvous.Hash(n.host.Name))),
		Peers:  n.world.Network.Peers(n.host), Objects: platform, Machines: platform,
		Engines: &engineClient{world: n.world, host: n.host}, Scorer: &simScorer{world: n.world, host: n.host}, Store: store, Journal: journal,
		OnConfiguration: func(generation uint64) { n.world.History.applied(n.host.Name, n.host.life, generation) },
	})
	n.gateway = newGateway(n)
	n.world.Network.Handle(n.host.Name, n.core.HandleMessage)
	n.core.Start()
	n.world.Trace("node %s started", n.host.Name)
}

// openDisk reads what the node's disk holds, if it has one.
func (n *Node) openDisk() (*samplestore.Store, *quorum.Journal) {
	if n.disk == nil {
		return nil, nil
	}
	log := n.disk.Log(n.host)
	store, err := samplestore.Open(log)
	if err != nil {
		panic(err)
	}
	journal, err := quorum.OpenJournal(log, n.world.Scheduler.Random)
	if err != nil {
		panic(err)
	}
	return store, journal
}

// Kill ends the node as a crash does; engines see its connections break.
func (n *Node) Kill() {
	if !n.host.alive {
		return
	}
	n.world.Trace("node %s killed", n.host.Name)
	n.host.kill()
	n.gateway.cut()
	n.world.connectionsLost(n.host)
	watchers := n.watchers
	n.watchers = nil
	for _, call := range watchers {
		call()
	}
}

// Stop is the planned stop: duties are handed over, requests in progress end,
// and the process goes.
func (n *Node) Stop(done func()) {
	if !n.host.alive || n.stopping {
		done()
		return
	}
	n.stopping = true
	n.world.Trace("node %s stops as planned", n.host.Name)
	n.gateway.refusing = true
	limit := n.world.Scheduler.Now().Add(stopGrace)
	n.core.Stop(func() { n.awaitRequests(limit, done) })
}

func (n *Node) awaitRequests(limit time.Time, done func()) {
	if n.gateway.open == 0 || n.world.Scheduler.Now().After(limit) {
		n.world.History.stopped(n.host.Name, n.gateway.open)
		n.core.Kill()
		n.Kill()
		done()
		return
	}
	n.host.AfterFunc(stopPollInterval, func() { n.awaitRequests(limit, done) })
}

// simScorer judges samples after a moment, and fails now and then.
type simScorer struct {
	world *World
	host  *Host
}

const (
	scoreTime    = 5 * time.Millisecond
	scoreFailure = 0.02
)

// Score implements rollout.Scorer.
func (s *simScorer) Score(_ string, sample []byte, done func(float64, error)) {
	failed := s.world.Scheduler.Random.Float64() < scoreFailure
	s.host.AfterFunc(scoreTime, func() {
		if failed {
			done(0, errScorer)
			return
		}
		done(float64(len(sample)%100)/100, nil)
	})
}
