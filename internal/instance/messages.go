package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/wire"
)

// handle passes a message of another node to the part that answers it.
func (p *parts) handle(ctx context.Context, message wire.Message, reply func(wire.Message)) {
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
			reply(p.slowStart.answer(message))
			return
		}
	}
	if !p.jobs.HandleMessage(message, reply) {
		reply(&wire.Failure{Detail: "unknown message"})
	}
}

// fillHeartbeat adds this node's state to its heartbeat.
func (p *parts) fillHeartbeat(heartbeat *wire.NodeBeat) {
	p.jobs.FillHeartbeat(heartbeat)
	heartbeat.Versions = p.weights.AnnouncedVersions()
	if p.usage != nil {
		p.usage.FillHeartbeat(heartbeat)
	}
	heartbeat.Lease = p.keeper.TenureToken()
	last := p.keeper.LastObserved()
	heartbeat.LeaseHolder, heartbeat.LeaseSeen, heartbeat.LeaseReleased = last.Holder, last.Revision, last.Released
}

// receiveHeartbeat applies another node's heartbeat.
func (p *parts) receiveHeartbeat(heartbeat *wire.NodeBeat) {
	p.keeper.Observe(lease.Observation{Holder: heartbeat.Node, Revision: heartbeat.Lease})
	p.keeper.Observe(lease.Observation{Holder: heartbeat.LeaseHolder, Revision: heartbeat.LeaseSeen, Released: heartbeat.LeaseReleased})
	for _, change := range heartbeat.Versions {
		p.weights.ObserveVersion(change)
	}
	if p.usage != nil {
		p.usage.ReceiveHeartbeat(heartbeat)
	}
	p.jobs.ReceiveHeartbeat(heartbeat)
}

// watchers names the nodes that receive every heartbeat of this node.
func (p *parts) watchers() []string {
	return append(p.jobs.Watchers(), p.keeper.Candidates()...)
}
