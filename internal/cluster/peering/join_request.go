package peering

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// joinRequestTimeout bounds one join request.
	joinRequestTimeout = 800 * time.Millisecond
	// joinRequestAttempts is how often a join request is sent to a seed that doesn't reply.
	joinRequestAttempts      = 4
	joinRequestRetryInterval = time.Second
	// maxFullReply is the number of peers up to which the reply to a join request lists all
	// of them. Above it, the reply lists those in the joining node's zone, which keeps it
	// to some kilobytes; the joining node learns of the others from the store.
	maxFullReply = 256
)

// sendJoinRequests sends join requests to the other seeds and doesn't wait for the replies.
func (t *Table) sendJoinRequests(ctx context.Context) {
	for _, seed := range t.knownSeeds() {
		if seed != t.config.Address {
			t.sendJoinRequest(ctx, seed, 0)
		}
	}
}

// sendJoinRequest sends a join request to a node and learns of the peers in its reply.
// Attempt counts the earlier ones.
func (t *Table) sendJoinRequest(ctx context.Context, address string, attempt int) {
	t.config.Peers.Call(address, t.newHeartbeat(), joinRequestTimeout, func(reply wire.Message, err error) {
		if ctx.Err() != nil {
			return
		}
		if heartbeat, ok := reply.(*wire.NodeBeat); ok && err == nil {
			t.HandleHeartbeat(heartbeat)
			return
		}
		if attempt+1 < joinRequestAttempts && !t.Joined() {
			time.AfterFunc(joinRequestRetryInterval, func() { t.sendJoinRequest(ctx, address, attempt+1) })
		}
	})
}

// HandleJoin handles another node's join request. It replies with a heartbeat that lists
// all known peers, or only those in the joining node's zone if there are more than
// maxFullReply.
func (t *Table) HandleJoin(heartbeat *wire.NodeBeat) *wire.NodeBeat {
	t.HandleHeartbeat(heartbeat)
	reply := t.newHeartbeat()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reply.PeersKnown = t.joined
	all := len(t.peers) <= maxFullReply
	for _, peer := range t.peers {
		if all || peer.Zone == heartbeat.Zone {
			reply.Peers = append(reply.Peers, peer.toWire())
		}
	}
	return reply
}
