package storerelay

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// gate is one node's connection to the store.
type gate struct {
	*metastore.Store
	fail  error
	calls int
}

func (g *gate) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	g.calls++
	if g.fail != nil {
		return objectstore.Object{}, g.fail
	}
	return g.Store.Create(ctx, kind, name, spec)
}

func (g *gate) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	g.calls++
	if g.fail != nil {
		return objectstore.Object{}, g.fail
	}
	return g.Store.Get(ctx, kind, name, freshness)
}

func (g *gate) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (objectstore.Object, error) {
	g.calls++
	if g.fail != nil {
		return objectstore.Object{}, g.fail
	}
	return g.Store.Replace(ctx, kind, name, spec, revision)
}

func (g *gate) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	g.calls++
	if g.fail != nil {
		return objectstore.Page{}, g.fail
	}
	return g.Store.List(ctx, kind, after, freshness)
}

// pair is a node with its direct connection, and a helper.
type pair struct {
	own, other *gate
	relay      *Relay
	helper     *Relay
	reachable  bool
	known      bool
}

// Send and Broadcast are not used by relays.
func (p *pair) Send(string, wire.Message)        {}
func (p *pair) Broadcast([]string, wire.Message) {}

func (p *pair) Call(_ string, message wire.Message, _ time.Duration, done func(wire.Message, error)) {
	if !p.reachable {
		done(nil, environment.ErrPeerUnreachable)
		return
	}
	done(p.helper.HandleCall(context.Background(), message.(*wire.StoreCall)), nil)
}

func newPair() *pair {
	store := metastore.New()
	made := &pair{own: &gate{Store: store}, other: &gate{Store: store}, reachable: true, known: true}
	relayOver := func(own objectstore.Store) *Relay {
		return New(Config{
			Direct: own, Peers: made, PeerWithStoreAccess: func() (string, bool) { return "other", made.known }, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
		})
	}
	made.relay, made.helper = relayOver(made.own), relayOver(made.other)
	return made
}

var (
	refusal = &objectstore.RefusedError{Status: 503, Cause: metastore.ErrFault}
	silence = &objectstore.UnansweredError{Cause: metastore.ErrFault}
	spec    = json.RawMessage(`1`)
)

func TestRefusedCallsGoThroughAnotherNode(t *testing.T) {
	p := newPair()
	p.own.fail = refusal
	ctx := t.Context()
	made, err := p.relay.Create(ctx, "k", "n", spec)
	if err != nil || made.Revision == 0 {
		t.Fatalf("create: %+v, %v", made, err)
	}
	var conflict *objectstore.ConflictError
	if _, err := p.relay.Create(ctx, "k", "n", json.RawMessage(`2`)); !errors.As(err, &conflict) || string(conflict.Current.Spec) != "1" {
		t.Errorf("second create: %v", err)
	}
	if _, err := p.relay.Replace(ctx, "k", "n", json.RawMessage(`3`), made.Revision+9); !errors.As(err, &conflict) {
		t.Errorf("replace at another revision: %v", err)
	}
	if object, err := p.relay.Get(ctx, "k", "n", objectstore.Linearizable); err != nil || string(object.Spec) != "1" {
		t.Errorf("get: %+v, %v", object, err)
	}
	if _, err := p.relay.Get(ctx, "k", "none", objectstore.Linearizable); !errors.Is(err, objectstore.ErrNotFound) {
		t.Errorf("get of nothing: %v", err)
	}
	if page, err := p.relay.List(ctx, "k", "", objectstore.Linearizable); err != nil || len(page.Objects) != 1 || page.Revision == 0 {
		t.Errorf("list: %+v, %v", page, err)
	}
	if p.own.calls != 1 {
		t.Errorf("%d calls on the connection that had just failed", p.own.calls)
	}
}

// Guards against repeating a call without a response, which may have taken effect.
func TestUnansweredCallIsNotRepeated(t *testing.T) {
	p := newPair()
	p.own.fail = silence
	var unanswered *objectstore.UnansweredError
	if _, err := p.relay.Create(t.Context(), "k", "n", spec); !errors.As(err, &unanswered) || p.other.calls != 0 {
		t.Errorf("create: %v, %d calls through the other node", err, p.other.calls)
	}
	if _, err := p.relay.Create(t.Context(), "k", "n", spec); err != nil {
		t.Errorf("the caller's own next try: %v", err)
	}
}

func TestFailuresKeepTheirMeaningOnTheWay(t *testing.T) {
	for _, test := range []struct {
		name  string
		set   func(p *pair)
		wants func(err error) bool
	}{
		{"refused by both", func(p *pair) { p.other.fail = refusal }, func(err error) bool {
			var refused *objectstore.RefusedError
			return errors.As(err, &refused) && refused.Status == 503
		}},
		{"not answered to the other", func(p *pair) { p.other.fail = silence }, isUnanswered},
		{"other node silent", func(p *pair) { p.reachable = false }, isUnanswered},
		{"no other node known", func(p *pair) { p.known = false }, func(err error) bool {
			var refused *objectstore.RefusedError
			return errors.As(err, &refused)
		}},
	} {
		p := newPair()
		p.own.fail = refusal
		test.set(p)
		if _, err := p.relay.Create(t.Context(), "k", "n", spec); !test.wants(err) {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

func isUnanswered(err error) bool {
	var unanswered *objectstore.UnansweredError
	return errors.As(err, &unanswered)
}

// Guards against two refused nodes sending a call back and forth.
func TestCallsMakeOneHop(t *testing.T) {
	p := newPair()
	p.own.fail, p.other.fail = refusal, refusal
	p.relay.Create(t.Context(), "k", "n", spec)
	if p.own.calls != 1 || p.other.calls != 1 {
		t.Errorf("%d and %d calls", p.own.calls, p.other.calls)
	}
}
