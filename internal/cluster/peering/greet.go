package peering

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// greetTimeout bounds one greeting.
	greetTimeout = 800 * time.Millisecond
	// greetAttempts is how often a seed that doesn't answer is greeted.
	greetAttempts      = 4
	greetRetryInterval = time.Second
	// maxFullAnswer is up to how many peers the answer to a greeting lists all of them. Beyond,
	// it lists those of the greeting node's zone, to stay some kilobytes long; the others
	// come from the store.
	maxFullAnswer = 256
)

// greetSeeds greets the other seeds, without waiting for their answers.
func (t *Table) greetSeeds(ctx context.Context) {
	for _, seed := range t.knownSeeds() {
		if seed != t.config.Address {
			t.greet(ctx, seed, 0)
		}
	}
}

// greet greets a node and learns of the peers in its answer. Round counts earlier attempts.
func (t *Table) greet(ctx context.Context, address string, round int) {
	t.config.Peers.Call(address, t.newHeartbeat(), greetTimeout, func(reply wire.Message, err error) {
		if ctx.Err() != nil {
			return
		}
		if heartbeat, ok := reply.(*wire.NodeBeat); ok && err == nil {
			t.Receive(heartbeat)
			return
		}
		if round+1 < greetAttempts && !t.Joined() {
			time.AfterFunc(greetRetryInterval, func() { t.greet(ctx, address, round+1) })
		}
	})
}

// AnswerGreeting answers another node's greeting with a heartbeat that lists all known
// peers, or only those in the greeting node's zone if there are more than maxFullAnswer.
func (t *Table) AnswerGreeting(heartbeat *wire.NodeBeat) *wire.NodeBeat {
	t.Receive(heartbeat)
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
