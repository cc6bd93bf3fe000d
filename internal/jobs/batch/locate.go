package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// maxLocatorsAsked is the number of locators that a node asks in parallel about a job
	// that it does not know, and locateTimeout bounds the wait for their replies. If none
	// of them knows the job, the store is read.
	maxLocatorsAsked = 3
	locateTimeout    = 150 * time.Millisecond
)

// locatorsOf returns the nodes that receive the heartbeats about a job's start and end.
func (s *Service) locatorsOf(id string) []string {
	return ownership.LocatorsOf(id, s.config.PeerTable.NodeNames())
}

// announce sends a heartbeat about a job's start or end to the job's locators and to
// further nodes.
func (s *Service) announce(id string, others ...string) {
	s.config.PeerTable.Announce(append(s.locatorsOf(id), others...))
}

// ownerOf returns the other node that runs a job, as far as this node or a locator knows.
func (s *Service) ownerOf(ctx context.Context, id string) (jobstore.Owner, bool) {
	if owner, known := s.knownOwner(id); known {
		return owner, true
	}
	return s.locate(ctx, id)
}

// knownOwner returns the other node that runs a job, if this node knows it.
func (s *Service) knownOwner(id string) (jobstore.Owner, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remote := s.remoteJobs[id]
	if remote == nil {
		return jobstore.Owner{}, false
	}
	return remote.owner, true
}

// locate asks locators who runs a job. If heartbeats go to all nodes, it asks none.
func (s *Service) locate(ctx context.Context, id string) (jobstore.Owner, bool) {
	if s.config.PeerTable.AnnouncesToAll() {
		return jobstore.Owner{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	replies := make(chan *wire.JobFound, maxLocatorsAsked)
	asked := 0
	for _, node := range s.locatorsOf(id) {
		peer, known := s.config.PeerTable.Get(node)
		if !known || asked == maxLocatorsAsked {
			continue
		}
		asked++
		go func() { replies <- s.askLocator(ctx, peer.Address, id) }()
	}
	for range asked {
		if found := <-replies; found != nil && found.Known {
			return s.learnFound(id, found), true
		}
	}
	return jobstore.Owner{}, false
}

// askLocator asks one node who runs a job. It returns nil if there is no reply.
func (s *Service) askLocator(ctx context.Context, address, id string) *wire.JobFound {
	reply, err := environment.Call(ctx, s.config.Peers, address, &wire.JobFind{Job: id}, locateTimeout)
	found, ok := reply.(*wire.JobFound)
	if err != nil || !ok {
		return nil
	}
	return found
}

// learnFound records a locator's reply and returns the job's owner.
func (s *Service) learnFound(id string, found *wire.JobFound) jobstore.Owner {
	owner := jobstore.Owner{Node: found.Owner.Node, Address: found.Owner.Address, Incarnation: found.Owner.Incarnation}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.jobs[id] != nil {
		return owner
	}
	remote := s.learnRemote(id, owner, int(found.Epoch), found.Ended)
	if found.TenantKnown {
		remote.tenant, remote.tenantKnown = found.Tenant, true
	}
	return remote.owner
}

// handleFind handles another node's request for the owner of a job.
func (s *Service) handleFind(request *wire.JobFind) *wire.JobFound {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if held := s.jobs[request.Job]; held != nil {
		return &wire.JobFound{
			Known: true, Owner: addressOf(s.config.Self), Epoch: uint32(held.record.Epoch), Ended: held.ended,
			Tenant: held.record.Tenant, TenantKnown: true,
		}
	}
	remote := s.remoteJobs[request.Job]
	if remote == nil || remote.owner.Node == "" {
		return &wire.JobFound{}
	}
	return &wire.JobFound{
		Known: true, Owner: addressOf(remote.owner), Epoch: uint32(remote.epoch), Ended: remote.ended,
		Tenant: remote.tenant, TenantKnown: remote.tenantKnown,
	}
}

// addressOf converts an owner to its form in messages.
func addressOf(owner jobstore.Owner) wire.PeerAddress {
	return wire.PeerAddress{Node: owner.Node, Address: owner.Address, Incarnation: owner.Incarnation}
}
