package peering

import (
	"context"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// seedTime bounds the question to a seed for the list of nodes: hundreds of nodes
	// that start together ask the same three, which answer some hundred a second.
	seedTime = time.Second
	// seedHedge is after how long without an answer the next seed is asked too: seeds may
	// be gone for good, and a starting node is to be ready within some seconds.
	seedHedge = 300 * time.Millisecond
	// seedRounds is how often a seed that has not read the list itself is asked, and
	// seedPause the time between: the machines of a deployment start within 0.3 s of
	// each other, and a seed needs seedSettleTime and two calls to the store.
	seedRounds = 8
	seedPause  = 150 * time.Millisecond
	// seedSettleTime is how long a new seed, whose list others take over, waits before it
	// reads the entries of the others: until those that started last have written theirs.
	seedSettleTime = 700 * time.Millisecond
)

// isSeed tells whether other nodes join through this one.
func (t *Table) isSeed() bool { return slices.Contains(t.knownSeeds(), t.config.Address) }

func (t *Table) knownSeeds() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.seeds
}

// learnFromSeeds asks a seed for the list of nodes, and others in turn where it does not
// answer. False means that this node is a seed or that none knows the list.
func (t *Table) learnFromSeeds(ctx context.Context) bool {
	seeds := t.knownSeeds()
	if len(seeds) == 0 || t.isSeed() {
		return false
	}
	seeds = rendezvous.RankNames(t.config.Node, seeds)
	for range seedRounds {
		known, answering := t.askSeeds(ctx, seeds)
		if known || len(answering) == 0 {
			return known
		}
		seeds = answering
		if !objectstore.Sleep(ctx, seedPause) {
			return false
		}
	}
	return false
}

// seedAnswer is the answer of the seed in a place; its beat is nil for none.
type seedAnswer struct {
	place int
	beat  *wire.NodeBeat
}

// askSeeds asks seeds for the list of nodes until one answers. It tells whether that one
// knows the list, and returns it with those behind it. The next seed is asked beside one
// that does not answer soon.
func (t *Table) askSeeds(ctx context.Context, seeds []string) (known bool, answering []string) {
	ctx, cancel := context.WithTimeout(ctx, seedTime)
	defer cancel()
	answers := make(chan seedAnswer, len(seeds))
	hedge := time.NewTicker(seedHedge)
	defer hedge.Stop()
	asked, silent := 0, 0
	askNext := func() {
		if asked < len(seeds) {
			go t.askSeed(ctx, seeds[asked], asked, answers)
			asked++
		}
	}
	askNext()
	for silent < len(seeds) {
		select {
		case <-ctx.Done():
			return false, nil
		case answer := <-answers:
			if answer.beat != nil {
				t.Receive(ctx, answer.beat)
				return answer.beat.PeersKnown, seeds[answer.place:]
			}
			silent++
			askNext()
		case <-hedge.C:
			askNext()
		}
	}
	return false, nil
}

// askSeed asks one seed for the list of nodes.
func (t *Table) askSeed(ctx context.Context, seed string, place int, answers chan<- seedAnswer) {
	reply, err := environment.Ask(ctx, t.config.Peers, seed, t.newHeartbeat(), seedTime)
	heartbeat, isBeat := reply.(*wire.NodeBeat)
	if err != nil || !isBeat {
		heartbeat = nil
	}
	answers <- seedAnswer{place: place, beat: heartbeat}
}
