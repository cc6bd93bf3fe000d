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
	// seedTimeout bounds one round of join requests to the seeds. Hundreds of starting
	// nodes may send them to the same few seeds.
	seedTimeout = time.Second
	// seedHedgeDelay is how long to wait for a seed's reply before the next one is asked as
	// well, since a seed may be lost for good.
	seedHedgeDelay = 300 * time.Millisecond
	// seedAttempts is how often to ask seeds that have not yet read the list of nodes. With
	// seedRetryInterval it gives a starting seed time for newSeedDelay and two calls to the
	// store.
	seedAttempts      = 8
	seedRetryInterval = 150 * time.Millisecond
)

// isSeed reports whether other nodes join through this one.
func (t *Table) isSeed() bool { return slices.Contains(t.knownSeeds(), t.config.Address) }

// knownSeeds returns the addresses of the seeds.
func (t *Table) knownSeeds() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.seeds
}

// learnFromSeeds gets the list of nodes from a seed. It returns false if this node is a
// seed or no seed knows the list.
func (t *Table) learnFromSeeds(ctx context.Context) bool {
	seeds := t.knownSeeds()
	if len(seeds) == 0 || t.isSeed() {
		return false
	}
	seeds = rendezvous.RankNames(t.config.Node, seeds)
	for range seedAttempts {
		known, answering := t.askSeeds(ctx, seeds)
		if known || len(answering) == 0 {
			return known
		}
		seeds = answering
		if !objectstore.Sleep(ctx, seedRetryInterval) {
			return false
		}
	}
	return false
}

// seedAnswer is the result of asking a seed; its heartbeat is nil if the seed didn't reply.
type seedAnswer struct {
	// place is the index of the seed in the order of asking.
	place     int
	heartbeat *wire.NodeBeat
}

// askSeeds asks seeds in order until one replies. It asks the next one early if a seed is
// slow. Known reports whether the replying seed knows the list; answering holds that seed
// and those after it.
func (t *Table) askSeeds(ctx context.Context, seeds []string) (known bool, answering []string) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	answers := make(chan seedAnswer, len(seeds))
	hedge := time.NewTicker(seedHedgeDelay)
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
			if answer.heartbeat != nil {
				t.HandleHeartbeat(answer.heartbeat)
				return answer.heartbeat.PeersKnown, seeds[answer.place:]
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
	reply, err := environment.Ask(ctx, t.config.Peers, seed, t.newHeartbeat(), seedTimeout)
	heartbeat, isBeat := reply.(*wire.NodeBeat)
	if err != nil || !isBeat {
		heartbeat = nil
	}
	answers <- seedAnswer{place: place, heartbeat: heartbeat}
}
