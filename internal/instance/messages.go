package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/wire"
)

// handle dispatches a message of another node to the component that handles it.
func (p *components) handle(ctx context.Context, message wire.Message, reply func(wire.Message)) {
	switch message := message.(type) {
	case *wire.NodeBeat:
		reply(p.peers.HandleJoin(message))
		return
	case *wire.WatchPoll:
		reply(p.source.HandlePoll(ctx, message))
		return
	case *wire.StoreCall:
		reply(p.store.HandleCall(ctx, message))
		return
	case *wire.CrashReport:
		p.quarantine.ReceiveReport(message)
		return
	case *wire.UsagePush:
		if p.usage != nil {
			reply(p.usage.ReceivePush(message))
			return
		}
	case *wire.PermitAsk:
		if p.slowStart != nil {
			reply(p.slowStart.handleRequest(message))
			return
		}
	}
	if !p.jobs.Answer(message, reply) {
		reply(&wire.Failure{Detail: "unknown message"})
	}
}

// fillHeartbeat adds this node's state to its heartbeat.
func (p *components) fillHeartbeat(heartbeat *wire.NodeBeat) {
	p.jobs.FillHeartbeat(heartbeat)
	heartbeat.Versions = p.weights.AnnouncedVersions()
	if p.usage != nil {
		p.usage.FillHeartbeat(heartbeat)
	}
	heartbeat.Lease = p.elector.TenureToken()
	last := p.elector.LastObserved()
	heartbeat.LeaseHolder, heartbeat.LeaseSeen, heartbeat.LeaseReleased = last.Holder, last.Revision, last.Released
}

// receiveHeartbeat applies another node's heartbeat.
func (p *components) receiveHeartbeat(heartbeat *wire.NodeBeat) {
	p.elector.Observe(lease.Observation{Holder: heartbeat.Node, Revision: heartbeat.Lease})
	p.elector.Observe(lease.Observation{Holder: heartbeat.LeaseHolder, Revision: heartbeat.LeaseSeen, Released: heartbeat.LeaseReleased})
	for _, change := range heartbeat.Versions {
		p.weights.ObserveVersion(change)
	}
	if p.usage != nil {
		p.usage.ReceiveHeartbeat(heartbeat)
	}
	p.jobs.ReceiveHeartbeat(heartbeat)
}

// heartbeatTargets returns the nodes that receive every heartbeat of this node.
func (p *components) heartbeatTargets() []string {
	return append(p.jobs.Watchers(), p.elector.Candidates()...)
}
