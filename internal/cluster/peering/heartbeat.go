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
func isActive(heartbeat *wire.NodeBeat) bool { return len(heartbeat.Jobs) > 0 || heartbeat.Lease > 0 }

func (t *Table) newHeartbeat() *wire.NodeBeat {
	heartbeat := &wire.NodeBeat{Node: t.config.Node, Address: t.config.Address, Zone: t.config.Zone, Incarnation: t.config.Incarnation, Capacity: t.config.Capacity}
	t.config.FillHeartbeat(heartbeat)
	return heartbeat
}

// Broadcast sends this node's heartbeat to all peers.
func (t *Table) Broadcast() {
	t.send(t.addresses(func(*Peer) bool { return true }))
}

// AnnouncesToAll reports whether Announce reaches every peer. In larger deployments,
// sending each start and end of a job to every node would cost thousands of messages a
// second.
func (t *Table) AnnouncesToAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.peers) <= t.config.MostTold
}

// Announce sends this node's heartbeat because of a rare change: to all peers if
// AnnouncesToAll, else to those that get every heartbeat and to the concerned nodes.
func (t *Table) Announce(concerned []string) {
	if t.AnnouncesToAll() {
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
	t.send(t.addresses(func(peer *Peer) bool { return hearing[peer.Node] || time.Since(peer.LastActive) < activeTime }))
}

// HeartbeatSoon sends a heartbeat because its content has changed: at once, or up to
// heartbeatGap later if one has just been sent.
func (t *Table) HeartbeatSoon() {
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
		t.config.Peers.Broadcast(addresses, t.newHeartbeat())
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
