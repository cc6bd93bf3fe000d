package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// watchers is how many nodes hear each heartbeat of a batch job's owner and
	// take the job over when it falls silent. With half of the nodes of a
	// deployment killed at once, one job in 32 has no watcher left at first.
	watchers = 5
	// unwatchedPatience is for how long the other nodes leave a job alone after
	// they heard of it last. They hear of its start and its end only, so that
	// they ask its owner before they take it over. Six seconds are half of what
	// trainers wait for a step.
	unwatchedPatience = 6 * time.Second
	// probeTime bounds the question to the owner.
	probeTime = 500 * time.Millisecond
)

// Watchers names the nodes that watch over the jobs of this node.
func (s *Service) Watchers() []string {
	nodes := s.config.Table.Nodes()
	s.mutex.Lock()
	open := map[string]origin{}
	for id, held := range s.jobs {
		if held.open() {
			open[id] = originOf(held.record)
		}
	}
	s.mutex.Unlock()
	var named []string
	for id, bound := range open {
		for _, candidate := range firstOf(id, successors(s.insiders(&bound, nodes), s.config.Self.Node)) {
			named = append(named, candidate.ID)
		}
	}
	return named
}

// successors are the nodes that may take a job over from its owner.
func successors(nodes []string, owner string) []rendezvous.Candidate {
	candidates := make([]rendezvous.Candidate, 0, len(nodes))
	for _, node := range nodes {
		if node != owner {
			candidates = append(candidates, rendezvous.Candidate{ID: node})
		}
	}
	return candidates
}

func firstOf(id string, candidates []rendezvous.Candidate) []rendezvous.Candidate {
	ranked := rendezvous.Rank(id, candidates)
	return ranked[:min(watchers, len(ranked))]
}

// ownerAnswers asks the owner of a job that this node does not watch whether it
// still runs it.
func (s *Service) ownerAnswers(ctx context.Context, id string, owner journal.Owner) bool {
	question := &wire.JobItem{Job: id}
	reply, err := environment.Ask(ctx, s.config.Peers, owner.Address, question, probeTime)
	if err != nil {
		return false
	}
	answer, ok := reply.(*wire.JobItemBody)
	return ok && answer.Known
}

// isUnwatched tells whether this node hears no heartbeats of a job's owner.
func (s *Service) isUnwatched(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	standing := s.known[id]
	return standing != nil && s.cachedRank(id, standing) >= watchers
}
