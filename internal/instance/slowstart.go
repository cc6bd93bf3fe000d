package instance

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/transport"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// allotterTimeout bounds a request to the allotter. It allows for several round trips
	// between zones; a later reply is of little use.
	allotterTimeout = 300 * time.Millisecond
	// allotterSuccessors is the number of nodes besides the last holder of the duty lease
	// that are tried in turn while no node replies.
	allotterSuccessors = 2
)

// errNoAllotter means that no node is known that may be the allotter.
var errNoAllotter = merry.Sentinel("no known node may allot requests to warming replicas")

// errUnexpectedReply means that a peer replied with a message of another type.
var errUnexpectedReply = merry.Sentinel("unexpected type of reply from peer")

// slowStart requests permits for warming replicas from the allotter, one node for the whole
// deployment, and handles the requests of other nodes while this node is the allotter.
type slowStart struct {
	self      jobstore.Owner
	peers     *peering.Table
	transport *transport.Transport
	elector   *lease.Elector
	client    *slowstart.Client
	allotter  *slowstart.Allotter
	// failures counts the requests for permits that failed, and those that a candidate other
	// than the first granted nothing. After each, the next request goes to the next
	// candidate. Only the client's goroutine uses it.
	failures int
}

func (c *components) newSlowStart() *slowStart {
	created := &slowStart{self: c.self, peers: c.peers, transport: c.transport, elector: c.elector}
	created.client = slowstart.NewClient(slowstart.ClientConfig{
		RequestPermits: created.requestPermits, Clock: c.clock, Allotted: c.jobs.WakeScheduler, Logger: c.logger, Registry: c.registry,
	})
	created.allotter = slowstart.NewAllotter(slowstart.AllotterConfig{
		Limits: slowstart.Limits{Overage: c.settings.WarmUpOverage, Slack: c.settings.WarmUpSlack},
		Lease:  c.elector, Clock: c.clock, Logger: c.logger, Registry: c.registry,
		Rate: func(replica string) float64 { return c.directory.View().WarmUpRate(replica) },
	})
	return created
}

// handleRequest handles a request for permits.
func (s *slowStart) handleRequest(request *wire.PermitAsk) *wire.PermitGrant {
	return &wire.PermitGrant{Granted: s.allotter.Allot(request.Wanted), SpanMs: uint32(slowstart.PermitLifetime.Milliseconds())}
}

// requestPermits requests permits from the likely allotter, which is this node if it holds
// the lease.
func (s *slowStart) requestPermits(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error) {
	candidates := s.allotterCandidates()
	if len(candidates) == 0 {
		return nil, 0, errNoAllotter
	}
	first := s.failures%len(candidates) == 0
	grant, err := s.requestPermitsFrom(ctx, candidates[s.failures%len(candidates)], wanted)
	if err != nil {
		s.failures++
		return nil, 0, err
	}
	if !first && len(grant.Granted) == 0 {
		s.failures++
	}
	return grant.Granted, time.Duration(grant.SpanMs) * time.Millisecond, nil
}

// requestPermitsFrom requests permits from one node, which may be this one.
func (s *slowStart) requestPermitsFrom(ctx context.Context, node string, wanted []wire.ReplicaCount) (*wire.PermitGrant, error) {
	request := &wire.PermitAsk{Node: s.self.Node, Incarnation: s.self.Incarnation, Wanted: wanted}
	if node == s.self.Node {
		return s.handleRequest(request), nil
	}
	peer, known := s.peers.Get(node)
	if !known {
		return nil, errNoAllotter
	}
	reply, err := environment.Call(ctx, s.transport, peer.Address, request, allotterTimeout)
	if err != nil {
		return nil, err
	}
	grant, ok := reply.(*wire.PermitGrant)
	if !ok {
		return nil, errUnexpectedReply
	}
	return grant, nil
}

// allotterCandidates returns the nodes that may be the allotter, the likeliest first: the
// last holder of the duty lease unless it released it, then its successors.
func (s *slowStart) allotterCandidates() []string {
	last := s.elector.LastObserved()
	candidates := s.elector.HolderAndSuccessors(allotterSuccessors)
	if last.Holder == "" {
		return candidates
	}
	candidates = slices.DeleteFunc(candidates, func(node string) bool { return node == last.Holder })
	if last.Released {
		return candidates
	}
	return slices.Insert(candidates, 0, last.Holder)
}
