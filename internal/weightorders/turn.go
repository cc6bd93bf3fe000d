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

const (
	// candidates is how many nodes besides the last holder look all the time
	// whether there are orders to give. More would do the same work for nothing:
	// each further one waits turnDelay longer.
	candidates = 5
	// outsiderPause is the time between looks of the other nodes. They act once
	// all candidates are gone, after patience of seconds.
	outsiderPause = 2 * time.Second
)

// isCandidate tells whether this node is the last holder of the lease or one of
// the first to follow it.
func (c *Coordinator) isCandidate() bool {
	holder := c.lease.heldBy()
	return holder == c.config.Node || c.rank(holder) < candidates
}

// Candidates names the nodes that follow this one as holder of the lease.
func (c *Coordinator) Candidates() []string {
	if c.token() == 0 {
		return nil
	}
	var named []string
	for _, candidate := range c.ranked(c.config.Node) {
		if len(named) < candidates {
			named = append(named, candidate.ID)
		}
	}
	return named
}

// ranked are the nodes other than a holder, in the order in which they follow
// it.
func (c *Coordinator) ranked(holder string) []rendezvous.Candidate {
	var others []rendezvous.Candidate
	for _, node := range c.config.Nodes() {
		if node != holder {
			others = append(others, rendezvous.Candidate{ID: node})
		}
	}
	return rendezvous.Rank(leaseName, others)
}

// rank is this node's place among the candidates.
func (c *Coordinator) rank(holder string) int {
	return slices.IndexFunc(c.ranked(holder), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == c.config.Node
	})
}
