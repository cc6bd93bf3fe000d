package peering

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// greetTimeout bounds one join request.
	greetTimeout = 800 * time.Millisecond
	// greetAttempts is how often a join request is sent to a seed that doesn't reply.
	greetAttempts      = 4
	greetRetryInterval = time.Second
	// maxFullAnswer is the number of peers up to which the reply to a join request lists
	// all of them. Above it, the reply lists those in the joining node's zone, which keeps
	// it to some kilobytes; the joining node learns of the others from the store.
	maxFullAnswer = 256
)

// greetSeeds sends join requests to the other seeds and doesn't wait for the replies.
func (t *Table) greetSeeds(ctx context.Context) {
	for _, seed := range t.knownSeeds() {
		if seed != t.config.Address {
			t.greet(ctx, seed, 0)
		}
	}
}

// greet sends a join request to a node and learns of the peers in its reply. Round counts
// earlier attempts.
func (t *Table) greet(ctx context.Context, address string, round int) {
	t.config.Peers.Call(address, t.newHeartbeat(), greetTimeout, func(reply wire.Message, err error) {
		if ctx.Err() != nil {
			return
		}
		if heartbeat, ok := reply.(*wire.NodeBeat); ok && err == nil {
			t.HandleHeartbeat(heartbeat)
			return
		}
		if round+1 < greetAttempts && !t.Joined() {
			time.AfterFunc(greetRetryInterval, func() { t.greet(ctx, address, round+1) })
		}
	})
}

// HandleJoin handles another node's join request. It replies with a heartbeat that
// lists all known peers, or only those in the joining node's zone if there are more than
// maxFullAnswer.
func (t *Table) HandleJoin(heartbeat *wire.NodeBeat) *wire.NodeBeat {
	t.HandleHeartbeat(heartbeat)
	answer := t.newHeartbeat()
	t.mutex.Lock()
	defer t.mutex.Unlock()
	answer.PeersKnown = t.joined
	all := len(t.peers) <= maxFullAnswer
	for _, peer := range t.peers {
		if all || peer.Zone == heartbeat.Zone {
			answer.Peers = append(answer.Peers, peer.address())
		}
	}
	return answer
}
