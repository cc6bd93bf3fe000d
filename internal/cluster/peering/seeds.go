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
		known, remaining := t.askSeeds(ctx, seeds)
		if known || len(remaining) == 0 {
			return known
		}
		seeds = remaining
		if !objectstore.Sleep(ctx, seedRetryInterval) {
			return false
		}
	}
	return false
}

// seedReply is the result of asking a seed; its heartbeat is nil if the seed didn't reply.
type seedReply struct {
	// index is the position of the seed in the order of asking.
	index     int
	heartbeat *wire.NodeBeat
}

// askSeeds asks seeds in order until one replies. It asks the next one early if a seed is
// slow. Known reports whether the replying seed knows the list; remaining holds that seed
// and those after it.
func (t *Table) askSeeds(ctx context.Context, seeds []string) (known bool, remaining []string) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	replies := make(chan seedReply, len(seeds))
	hedge := time.NewTicker(seedHedgeDelay)
	defer hedge.Stop()
	asked, silent := 0, 0
	askNext := func() {
		if asked < len(seeds) {
			go t.askSeed(ctx, seeds[asked], asked, replies)
			asked++
		}
	}
	askNext()
	for silent < len(seeds) {
		select {
		case <-ctx.Done():
			return false, nil
		case reply := <-replies:
			if reply.heartbeat != nil {
				t.HandleHeartbeat(reply.heartbeat)
				return reply.heartbeat.PeersKnown, seeds[reply.index:]
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
func (t *Table) askSeed(ctx context.Context, seed string, index int, replies chan<- seedReply) {
	reply, err := environment.Call(ctx, t.config.Peers, seed, t.newHeartbeat(), seedTimeout)
	heartbeat, isHeartbeat := reply.(*wire.NodeBeat)
	if err != nil || !isHeartbeat {
		heartbeat = nil
	}
	replies <- seedReply{index: index, heartbeat: heartbeat}
}
