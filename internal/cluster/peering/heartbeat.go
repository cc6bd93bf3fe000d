package peering

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// activeTime is for how long a peer counts as active after a heartbeat that
	// said so: a holder of the duty lease tells everybody at each renewal, every
	// 2.1 s, and an owner of batch jobs its active peers every 0.3 s.
	activeTime = 3 * time.Second
	// heartbeatGap is the least time between two heartbeats that changes cause:
	// with many replicas, loads of weights begin and end some 50 times a second.
	heartbeatGap = 50 * time.Millisecond
	// defaultMostTold is up to how many peers all hear of rare changes: with some of them
	// a second, that is as many messages as heartbeats are.
	defaultMostTold = 128
)

// isActive tells whether the sender of a heartbeat runs batch jobs or gives
// orders to replicas, so that it has to hear of others that do.
func isActive(beat *wire.NodeBeat) bool { return len(beat.Jobs) > 0 || beat.Lease > 0 }

func (t *Table) beat() *wire.NodeBeat {
	beat := &wire.NodeBeat{Node: t.config.Node, Address: t.config.Address, Zone: t.config.Zone, Incarnation: t.config.Incarnation, Capacity: t.config.Capacity}
	t.config.Beat(beat)
	return beat
}

// Broadcast sends this node's heartbeat to all peers.
func (t *Table) Broadcast() {
	t.send(t.addresses(func(*Peer) bool { return true }))
}

// TellsAll tells whether the nodes are few enough for all of them to hear of rare
// changes. Where they are more, a start or an end of a job told to all is thousands of
// messages a second.
func (t *Table) TellsAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.peers) <= t.config.MostTold
}

// Tell sends this node's heartbeat because of a rare change: to all peers where they are
// few, else to those that hear every heartbeat and to some more that the change concerns.
func (t *Table) Tell(concerned []string) {
	if t.TellsAll() {
		t.Broadcast()
		return
	}
	t.sendTo(concerned)
}

// Heartbeat sends this node's heartbeat to its watchers and to the peers that
// are active. Their number does not grow with the number of nodes.
func (t *Table) Heartbeat() { t.sendTo(nil) }

// sendTo sends this node's heartbeat to its watchers, to the peers that are active, and
// to some more.
func (t *Table) sendTo(more []string) {
	hearing := map[string]bool{}
	for _, node := range more {
		hearing[node] = true
	}
	if t.config.Watchers != nil {
		for _, watcher := range t.config.Watchers() {
			hearing[watcher] = true
		}
	}
	t.send(t.addresses(func(peer *Peer) bool { return hearing[peer.Node] || time.Since(peer.ActiveAt) < activeTime }))
}

// Changed sends a heartbeat because something that it tells has changed: at
// once, or a little later where one has just been sent.
func (t *Table) Changed() {
	t.mutex.Lock()
	if t.heartbeatDue {
		t.mutex.Unlock()
		return
	}
	pause := heartbeatGap - time.Since(t.lastHeartbeat)
	t.heartbeatDue = pause > 0
	t.mutex.Unlock()
	if pause <= 0 {
		t.Heartbeat()
		return
	}
	time.AfterFunc(pause, func() {
		t.mutex.Lock()
		t.heartbeatDue = false
		t.mutex.Unlock()
		t.Heartbeat()
	})
}

func (t *Table) send(addresses []string) {
	t.mutex.Lock()
	t.lastHeartbeat = time.Now()
	t.mutex.Unlock()
	if len(addresses) > 0 {
		t.config.Peers.Broadcast(addresses, t.beat())
	}
}

// addresses are those of the peers that a condition holds for, in order.
func (t *Table) addresses(wanted func(*Peer) bool) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addresses := make([]string, 0, len(t.peers))
	for _, peer := range t.peers {
		if wanted(peer) {
			addresses = append(addresses, peer.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
