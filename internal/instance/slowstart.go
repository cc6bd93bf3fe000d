package instance

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// allotterTime bounds a question to the allotter, some ways between zones: a later
	// answer is worth little.
	allotterTime = 300 * time.Millisecond
	// allotterFollowers is how many nodes besides the last holder of the duty lease
	// are asked in turn while nobody answers.
	allotterFollowers = 2
)

// errNoAllotter means that no node is known that could allot requests to warming
// replicas.
var errNoAllotter = merry.Sentinel("no node is known to allot requests to warming replicas")

// errForeignReply means that a peer answered with another message than was asked for.
var errForeignReply = merry.Sentinel("peer answered something else")

// slowStart joins what bounds the requests to warming replicas to the node.
type slowStart struct {
	instance *Instance
	client   *slowstart.Client
	allotter *slowstart.Allotter
	// turn counts the nodes that were asked in vain: the next question goes to the
	// next node. It belongs to the client's goroutine.
	turn int
}

// allotterLease is the duty lease as the allotter sees it.
type allotterLease struct {
	*lease.Keeper
	*lease.Lease
}

func (i *Instance) newSlowStart() *slowStart {
	made := &slowStart{instance: i}
	made.client = slowstart.NewClient(slowstart.ClientConfig{
		Ask: made.ask, Clock: i.clock, Allotted: i.jobs.LookAgain, Logger: i.logger, Registry: i.registry,
	})
	made.allotter = slowstart.NewAllotter(slowstart.AllotterConfig{
		Limits: slowstart.Limits{Overage: i.settings.WarmUpOverage, Slack: i.settings.WarmUpSlack},
		Lease:  allotterLease{Keeper: i.duty, Lease: i.lease}, Clock: i.clock, Logger: i.logger, Registry: i.registry,
		Rate: func(replica string) float64 { return i.directory.View().WarmUpRate(replica) },
	})
	return made
}

// answer answers another node's question.
func (s *slowStart) answer(question *wire.PermitAsk) *wire.PermitGrant {
	return &wire.PermitGrant{Granted: s.allotter.Allot(question.Wanted), SpanMs: uint32(slowstart.Span.Milliseconds())}
}

// ask asks whoever allots: this node itself where it holds the lease.
func (s *slowStart) ask(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error) {
	named := s.allotters()
	if len(named) == 0 {
		return nil, 0, errNoAllotter
	}
	first := s.turn%len(named) == 0
	answer, err := s.askNode(ctx, named[s.turn%len(named)], wanted)
	if err != nil {
		s.turn++
		return nil, 0, err
	}
	if !first && len(answer.Granted) == 0 {
		s.turn++
	}
	return answer.Granted, time.Duration(answer.SpanMs) * time.Millisecond, nil
}

// askNode asks one node, which may be this one.
func (s *slowStart) askNode(ctx context.Context, node string, wanted []wire.ReplicaCount) (*wire.PermitGrant, error) {
	self := s.instance.settings.Node
	question := &wire.PermitAsk{Node: self, Incarnation: uint64(s.instance.started.UnixNano()), Wanted: wanted}
	if node == self {
		return s.answer(question), nil
	}
	peer, known := s.instance.peers.Get(node)
	if !known {
		return nil, errNoAllotter
	}
	reply, err := environment.Ask(ctx, s.instance.transport, peer.Address, question, allotterTime)
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
	seen := s.instance.duty.LastObserved()
	named := s.instance.duty.Informed(allotterFollowers)
	if seen.Holder == "" {
		return named
	}
	named = slices.DeleteFunc(named, func(node string) bool { return node == seen.Holder })
	if seen.Released {
		return named
	}
	return slices.Insert(named, 0, seen.Holder)
}
