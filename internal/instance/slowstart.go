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
	// allotterTimeout bounds a question to the allotter, several round trips between zones:
	// a later answer is of little use.
	allotterTimeout = 300 * time.Millisecond
	// allotterFollowers is how many nodes besides the last holder of the duty lease
	// are asked in turn while nobody answers.
	allotterFollowers = 2
)

// errNoAllotter means that no node is known that could allot requests to warming
// replicas.
var errNoAllotter = merry.Sentinel("no node is known to allot requests to warming replicas")

// errForeignReply means that a peer answered with another message than was asked for.
var errForeignReply = merry.Sentinel("peer answered something else")

// slowStart asks the allotter, one node for the whole deployment, how many requests this
// node may send to warming replicas, and answers other nodes while it is the allotter.
type slowStart struct {
	self      jobstore.Owner
	peers     *peering.Table
	transport *transport.Transport
	keeper    *lease.Elector
	client    *slowstart.Client
	allotter  *slowstart.Allotter
	// failures counts the nodes that were asked in vain: the next question goes to the
	// next node. It belongs to the client's goroutine.
	failures int
}

// allotterLease is the duty lease as the allotter sees it.
type allotterLease struct {
	*lease.Elector
	*lease.Lease
}

func (p *parts) newSlowStart() *slowStart {
	made := &slowStart{self: p.self, peers: p.peers, transport: p.transport, keeper: p.keeper}
	made.client = slowstart.NewClient(slowstart.ClientConfig{
		RequestPermits: made.ask, Clock: p.clock, Allotted: p.jobs.WakeScheduler, Logger: p.logger, Registry: p.registry,
	})
	made.allotter = slowstart.NewAllotter(slowstart.AllotterConfig{
		Limits: slowstart.Limits{Overage: p.settings.WarmUpOverage, Slack: p.settings.WarmUpSlack},
		Lease:  allotterLease{Elector: p.keeper, Lease: p.lease}, Clock: p.clock, Logger: p.logger, Registry: p.registry,
		Rate: func(replica string) float64 { return p.directory.View().WarmUpRate(replica) },
	})
	return made
}

// answer answers another node's question.
func (s *slowStart) answer(question *wire.PermitAsk) *wire.PermitGrant {
	return &wire.PermitGrant{Granted: s.allotter.Allot(question.Wanted), SpanMs: uint32(slowstart.PermitLifetime.Milliseconds())}
}

// ask asks whoever allots: this node itself where it holds the lease.
func (s *slowStart) ask(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error) {
	named := s.allotters()
	if len(named) == 0 {
		return nil, 0, errNoAllotter
	}
	first := s.failures%len(named) == 0
	answer, err := s.askNode(ctx, named[s.failures%len(named)], wanted)
	if err != nil {
		s.failures++
		return nil, 0, err
	}
	if !first && len(answer.Granted) == 0 {
		s.failures++
	}
	return answer.Granted, time.Duration(answer.SpanMs) * time.Millisecond, nil
}

// askNode asks one node, which may be this one.
func (s *slowStart) askNode(ctx context.Context, node string, wanted []wire.ReplicaCount) (*wire.PermitGrant, error) {
	question := &wire.PermitAsk{Node: s.self.Node, Incarnation: s.self.Incarnation, Wanted: wanted}
	if node == s.self.Node {
		return s.answer(question), nil
	}
	peer, known := s.peers.Get(node)
	if !known {
		return nil, errNoAllotter
	}
	reply, err := environment.Call(ctx, s.transport, peer.Address, question, allotterTimeout)
	if err != nil {
		return nil, err
	}
	answer, ok := reply.(*wire.PermitGrant)
	if !ok {
		return nil, errForeignReply
	}
	return answer, nil
}

// allotters names the nodes that may allot, the likeliest first: the holder of the
// duty lease unless it gave it up, then those that would follow it.
func (s *slowStart) allotters() []string {
	last := s.keeper.LastObserved()
	named := s.keeper.HolderAndSuccessors(allotterFollowers)
	if last.Holder == "" {
		return named
	}
	named = slices.DeleteFunc(named, func(node string) bool { return node == last.Holder })
	if last.Released {
		return named
	}
	return slices.Insert(named, 0, last.Holder)
}
