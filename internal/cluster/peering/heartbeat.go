package peering

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// activeTimeout is how long a peer counts as active after a heartbeat that reported it
	// as such. It is longer than the heartbeat interval of a holder of the duty lease.
	activeTimeout = 3 * time.Second
	// minHeartbeatInterval is the least time between two heartbeats sent because of
	// changes, which may occur many times a second while replicas load weights.
	minHeartbeatInterval = 50 * time.Millisecond
)

// isActive reports whether the sender of a heartbeat runs batch jobs or holds the duty
// lease. Active nodes send each other their heartbeats.
func isActive(heartbeat *wire.NodeBeat) bool { return len(heartbeat.Jobs) > 0 || heartbeat.Lease > 0 }

// newHeartbeat returns this node's heartbeat with its current state.
func (t *Table) newHeartbeat() *wire.NodeBeat {
	heartbeat := &wire.NodeBeat{
		Node:        t.config.Node,
		Address:     t.config.Address,
		Zone:        t.config.Zone,
		Incarnation: t.config.Incarnation,
		Capacity:    t.config.Capacity,
	}
	t.config.FillHeartbeat(heartbeat)
	return heartbeat
}

// Broadcast sends this node's heartbeat to all peers.
func (t *Table) Broadcast() {
	t.send(t.addresses(func(*Peer) bool { return true }))
}

// AnnouncesToAll reports whether Announce reaches every peer. In a larger deployment,
// sending each start and end of a job to every node would cost thousands of messages a
// second.
func (t *Table) AnnouncesToAll() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.peers) <= t.config.MaxBroadcastPeers
}

// Announce sends this node's heartbeat because of a rare change: to all peers if
// AnnouncesToAll, and otherwise to those that get every heartbeat and to the affected
// nodes.
func (t *Table) Announce(affected []string) {
	if t.AnnouncesToAll() {
		t.Broadcast()
		return
	}
	t.sendToTargets(affected)
}

// SendHeartbeat sends this node's heartbeat to its targets and to the active peers, whose
// number doesn't grow with the number of nodes.
func (t *Table) SendHeartbeat() { t.sendToTargets(nil) }

// sendToTargets sends this node's heartbeat to its targets, to the active peers, and to the
// given nodes.
func (t *Table) sendToTargets(extra []string) {
	recipients := map[string]bool{}
	for _, node := range extra {
		recipients[node] = true
	}
	if t.config.HeartbeatTargets != nil {
		for _, node := range t.config.HeartbeatTargets() {
			recipients[node] = true
		}
	}
	t.send(t.addresses(func(peer *Peer) bool {
		return recipients[peer.Node] || time.Since(peer.LastActive) < activeTimeout
	}))
}

// ScheduleHeartbeat sends a heartbeat because its content has changed: at once, or up to
// minHeartbeatInterval later if one has just been sent.
func (t *Table) ScheduleHeartbeat() {
	t.mutex.Lock()
	if t.heartbeatDue {
		t.mutex.Unlock()
		return
	}
	delay := minHeartbeatInterval - time.Since(t.lastHeartbeat)
	t.heartbeatDue = delay > 0
	t.mutex.Unlock()
	if delay <= 0 {
		t.SendHeartbeat()
		return
	}
	time.AfterFunc(delay, func() {
		t.mutex.Lock()
		t.heartbeatDue = false
		t.mutex.Unlock()
		t.SendHeartbeat()
	})
}

// send sends this node's heartbeat to the given addresses.
func (t *Table) send(addresses []string) {
	t.mutex.Lock()
	t.lastHeartbeat = time.Now()
	t.mutex.Unlock()
	if len(addresses) > 0 {
		t.config.Peers.Broadcast(addresses, t.newHeartbeat())
	}
}

// addresses returns the sorted addresses of the peers that match a condition.
func (t *Table) addresses(matches func(*Peer) bool) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addresses := make([]string, 0, len(t.peers))
	for _, peer := range t.peers {
		if matches(peer) {
			addresses = append(addresses, peer.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}
