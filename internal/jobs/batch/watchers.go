package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/wire"
)

// probeTimeout bounds a request to an owner whose heartbeats this node does not receive.
const probeTimeout = 500 * time.Millisecond

// Watchers returns the nodes that watch the open jobs of this node.
func (s *Service) Watchers() []string {
	nodes := s.config.PeerTable.NodeNames()
	s.mutex.Lock()
	open := map[string]origin{}
	for id, held := range s.jobs {
		if held.open() {
			open[id] = originOf(held.record)
		}
	}
	s.mutex.Unlock()
	var named []string
	for id, from := range open {
		successors := ownership.Successors(s.allowedNodes(&from, nodes), s.config.Self.Node)
		named = append(named, ownership.WatchersOf(id, successors)...)
	}
	return named
}

// ownerRunsJob asks the owner of a job whether it still runs it, for a node that does not
// receive its heartbeats.
func (s *Service) ownerRunsJob(ctx context.Context, id string, owner jobstore.Owner) bool {
	request := &wire.JobItem{Job: id}
	reply, err := environment.Call(ctx, s.config.Peers, owner.Address, request, probeTimeout)
	if err != nil {
		return false
	}
	body, ok := reply.(*wire.JobItemBody)
	return ok && body.Known
}
