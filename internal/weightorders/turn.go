package weightorders

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/rendezvous"
)

// myTurn tells whether this node is the one to act: the last holder at once,
// the others one after the other when it does not.
func (c *Coordinator) myTurn() bool {
	holder := c.lease.heldBy()
	if holder == c.config.Node {
		return true
	}
	c.mutex.Lock()
	waited := time.Since(c.workSince)
	c.mutex.Unlock()
	patience := time.Duration(c.rank(holder)) * turnDelay
	if holder != "" {
		patience += holderPatience
		if time.Since(c.config.Heard(holder)) < holderPatience {
			// It is there and at work.
			patience += livePatience
		}
	}
	return waited >= patience
}

// rank is this node's place among the candidates.
func (c *Coordinator) rank(holder string) int {
	var candidates []rendezvous.Candidate
	for _, node := range c.config.Nodes() {
		if node != holder {
			candidates = append(candidates, rendezvous.Candidate{ID: node})
		}
	}
	return slices.IndexFunc(rendezvous.Rank(leaseName, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == c.config.Node
	})
}
