package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/duties/duty"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
)

// handle answers a message of another node.
func (i *Instance) handle(ctx context.Context, message wire.Message, reply func(wire.Message)) {
	if beat, isBeat := message.(*wire.NodeBeat); isBeat {
		reply(i.peers.AnswerGreeting(beat))
		return
	}
	if poll, isPoll := message.(*wire.WatchPoll); isPoll {
		reply(i.source.Answer(ctx, poll))
		return
	}
	if call, isCall := message.(*wire.StoreCall); isCall {
		reply(i.store.Answer(ctx, call))
		return
	}
	if report, isReport := message.(*wire.CrashReport); isReport {
		i.quarantine.Take(report)
		return
	}
	if push, isPush := message.(*wire.UsagePush); isPush && i.usage != nil {
		reply(i.usage.Take(push))
		return
	}
	if ask, isAsk := message.(*wire.PermitAsk); isAsk && i.slowStart != nil {
		reply(i.slowStart.answer(ask))
		return
	}
	if !i.jobs.Answer(message, reply) {
		reply(&wire.Failure{Detail: "unknown message"})
	}
}

// fillHeartbeat adds this node's state to its heartbeat.
func (i *Instance) fillHeartbeat(beat *wire.NodeBeat) {
	i.jobs.FillHeartbeat(beat)
	beat.Versions = i.weights.Versions()
	if i.usage != nil {
		i.usage.FillHeartbeat(beat)
	}
	beat.Lease = i.duty.Tenure()
	seen := i.duty.Seen()
	beat.LeaseHolder, beat.LeaseSeen, beat.LeaseReleased = seen.Holder, seen.Revision, seen.Released
}

// receiveHeartbeat applies another node's heartbeat.
func (i *Instance) receiveHeartbeat(beat *wire.NodeBeat) {
	i.duty.Observe(duty.Sighting{Holder: beat.Node, Revision: beat.Lease})
	i.duty.Observe(duty.Sighting{Holder: beat.LeaseHolder, Revision: beat.LeaseSeen, Released: beat.LeaseReleased})
	for _, change := range beat.Versions {
		i.weights.ObserveVersion(change)
	}
	if i.usage != nil {
		i.usage.ReceiveHeartbeat(beat)
	}
	i.jobs.ReceiveHeartbeat(beat)
}

// watchers names the nodes that hear every heartbeat of this node.
func (i *Instance) watchers() []string {
	return append(i.jobs.Watchers(), i.duty.Candidates()...)
}

// followable lists the nodes through which the store can be followed.
func (i *Instance) followable() []watchcache.Node {
	var nodes []watchcache.Node
	for _, peer := range i.peers.Peers() {
		nodes = append(nodes, watchcache.Node{Name: peer.Node, Address: peer.Address, Zone: peer.Zone, Capacity: peer.Capacity})
	}
	return nodes
}

// silence is for how long a node has not been heard.
func (i *Instance) silence(node string) time.Duration {
	peer, _ := i.peers.Get(node)
	return time.Since(peer.LastHeartbeat)
}

// regionAt is the region of the node at an address, "" if it is not known.
func (i *Instance) regionAt(address string) string {
	return i.directory.RegionOf(i.peers.ZoneAt(address))
}
