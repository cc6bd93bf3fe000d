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
	// locators is how many nodes, the first in rank for a job's id, hear of its start
	// and its end in a deployment whose nodes are too many for all of them to. They
	// include its watchers.
	locators = 12
	// locatorsAsked is how many of them a node asks at once that is asked about a job
	// that it does not know, and locateTime bounds their answer. The store is asked
	// where none of them knows.
	locatorsAsked = 3
	locateTime    = 150 * time.Millisecond
)

// locatorsOf names the nodes that hear of a job's start and end.
func (s *Service) locatorsOf(id string) []string {
	ranked := rendezvous.RankNames(id, s.config.Table.Nodes())
	return ranked[:min(locators, len(ranked))]
}

// announce tells the nodes that a job concerns of its start or end, and some more.
func (s *Service) announce(id string, more ...string) {
	s.config.Table.Announce(append(s.locatorsOf(id), more...))
}

// ownerOf tells which other node runs a job, as this node or one that hears of the job
// knows. False leaves the question to the store.
func (s *Service) ownerOf(ctx context.Context, id string) (journal.Owner, bool) {
	if owner, known := s.knownOwner(id); known {
		return owner, true
	}
	return s.locate(ctx, id)
}

// knownOwner tells which other node runs a job, if this node knows.
func (s *Service) knownOwner(id string) (journal.Owner, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	standing := s.known[id]
	if standing == nil {
		return journal.Owner{}, false
	}
	return standing.owner, true
}

// locate asks the nodes that hear of a job who runs it, where not all nodes do.
func (s *Service) locate(ctx context.Context, id string) (journal.Owner, bool) {
	if s.config.Table.AnnouncesToAll() {
		return journal.Owner{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, locateTime)
	defer cancel()
	answers := make(chan *wire.JobFound, locatorsAsked)
	asked := 0
	for _, node := range s.locatorsOf(id) {
		peer, known := s.config.Table.Get(node)
		if !known || asked == locatorsAsked {
			continue
		}
		asked++
		go func() { answers <- s.askLocator(ctx, peer.Address, id) }()
	}
	for range asked {
		if found := <-answers; found != nil && found.Known {
			return s.noteFound(id, found), true
		}
	}
	return journal.Owner{}, false
}

// askLocator asks one node who runs a job; nil if it does not answer.
func (s *Service) askLocator(ctx context.Context, address, id string) *wire.JobFound {
	reply, err := environment.Ask(ctx, s.config.Peers, address, &wire.JobFind{Job: id}, locateTime)
	found, ok := reply.(*wire.JobFound)
	if err != nil || !ok {
		return nil
	}
	return found
}

// noteFound records what another node knows of a job, and returns its owner.
func (s *Service) noteFound(id string, found *wire.JobFound) journal.Owner {
	owner := journal.Owner{Node: found.Owner.Node, Address: found.Owner.Address, Incarnation: found.Owner.Incarnation}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.jobs[id] != nil {
		return owner
	}
	standing := s.noteRemote(id, owner, int(found.Epoch), found.Ended)
	if found.TenantKnown {
		standing.tenant, standing.tenantKnown = found.Tenant, true
	}
	return standing.owner
}

// answerFind answers another node's question who runs a job.
func (s *Service) answerFind(question *wire.JobFind) *wire.JobFound {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.jobs[question.Job]; held != nil {
		return &wire.JobFound{
			Known: true, Owner: addressOf(s.config.Self), Epoch: uint32(held.record.Epoch), Ended: held.ended,
			Tenant: held.record.Tenant, TenantKnown: true,
		}
	}
	standing := s.known[question.Job]
	if standing == nil || standing.owner.Node == "" {
		return &wire.JobFound{}
	}
	return &wire.JobFound{
		Known: true, Owner: addressOf(standing.owner), Epoch: uint32(standing.epoch), Ended: standing.ended,
		Tenant: standing.tenant, TenantKnown: standing.tenantKnown,
	}
}

// addressOf is an owner as messages name it.
func addressOf(owner journal.Owner) wire.PeerAddress {
	return wire.PeerAddress{Node: owner.Node, Address: owner.Address, Incarnation: owner.Incarnation}
}
