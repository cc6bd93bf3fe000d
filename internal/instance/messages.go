package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/wire"
)

// handle dispatches a message of another node to the component that handles it.
func (c *components) handle(ctx context.Context, message wire.Message, reply func(wire.Message)) {
	switch message := message.(type) {
	case *wire.NodeBeat:
		reply(c.peers.HandleJoin(message))
		return
	case *wire.WatchPoll:
		reply(c.source.HandlePoll(ctx, message))
		return
	case *wire.StoreCall:
		reply(c.store.HandleCall(ctx, message))
		return
	case *wire.CrashReport:
		reply(c.quarantine.ReceiveReport(message))
		return
	case *wire.UsagePush:
		if c.usage != nil {
			reply(c.usage.ReceivePush(message))
			return
		}
	case *wire.PermitAsk:
		if c.slowStart != nil {
			reply(c.slowStart.handleRequest(message))
			return
		}
	}
	if !c.jobs.HandleMessage(message, reply) {
		reply(&wire.Failure{Detail: "unknown message"})
	}
}

// fillHeartbeat adds this node's state to its heartbeat.
func (c *components) fillHeartbeat(heartbeat *wire.NodeBeat) {
	c.jobs.FillHeartbeat(heartbeat)
	heartbeat.Versions = c.weights.AnnouncedVersions()
	if c.usage != nil {
		c.usage.FillHeartbeat(heartbeat)
	}
	heartbeat.Lease = c.elector.TenureToken()
	last := c.elector.LastObserved()
	heartbeat.LeaseHolder, heartbeat.LeaseSeen, heartbeat.LeaseReleased = last.Holder, last.Revision, last.Released
}

// receiveHeartbeat applies another node's heartbeat.
func (c *components) receiveHeartbeat(heartbeat *wire.NodeBeat) {
	c.elector.Observe(lease.Observation{Holder: heartbeat.Node, Revision: heartbeat.Lease})
	c.elector.Observe(lease.Observation{Holder: heartbeat.LeaseHolder, Revision: heartbeat.LeaseSeen, Released: heartbeat.LeaseReleased})
	for _, change := range heartbeat.Versions {
		c.weights.ObserveVersion(change)
	}
	if c.usage != nil {
		c.usage.ReceiveHeartbeat(heartbeat)
	}
	c.jobs.ReceiveHeartbeat(heartbeat)
}

// heartbeatTargets returns the nodes that receive every heartbeat of this node.
func (c *components) heartbeatTargets() []string {
	return append(c.jobs.Watchers(), c.elector.Candidates()...)
}
