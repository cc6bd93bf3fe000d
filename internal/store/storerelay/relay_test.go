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

// testConnection is one node's connection to the store. Its calls fail with fail if set.
type testConnection struct {
	*metastore.Store
	fail  error
	calls int
}

func (c *testConnection) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	c.calls++
	if c.fail != nil {
		return objectstore.Object{}, c.fail
	}
	return c.Store.Create(ctx, kind, name, spec)
}

func (c *testConnection) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	c.calls++
	if c.fail != nil {
		return objectstore.Object{}, c.fail
	}
	return c.Store.Get(ctx, kind, name, freshness)
}

func (c *testConnection) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (objectstore.Object, error) {
	c.calls++
	if c.fail != nil {
		return objectstore.Object{}, c.fail
	}
	return c.Store.Replace(ctx, kind, name, spec, revision)
}

func (c *testConnection) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	c.calls++
	if c.fail != nil {
		return objectstore.Page{}, c.fail
	}
	return c.Store.List(ctx, kind, after, freshness)
}

// relayPair is a node with a relay, and its helper. Each has a direct connection.
type relayPair struct {
	direct, helperDirect *testConnection
	relay                *Relay
	helper               *Relay
	reachable            bool
	known                bool
}

// Send and Broadcast are not used by relays.
func (p *relayPair) Send(string, wire.Message)        {}
func (p *relayPair) Broadcast([]string, wire.Message) {}

func (p *relayPair) Call(_ string, message wire.Message, _ time.Duration, done func(wire.Message, error)) {
	if !p.reachable {
		done(nil, environment.ErrPeerUnreachable)
		return
	}
	done(p.helper.HandleCall(context.Background(), message.(*wire.StoreCall)), nil)
}

func newRelayPair() *relayPair {
	store := metastore.New()
	pair := &relayPair{direct: &testConnection{Store: store}, helperDirect: &testConnection{Store: store}, reachable: true, known: true}
	newRelay := func(direct objectstore.Store) *Relay {
		return New(Config{
			Direct: direct, Peers: pair, PeerWithStoreAccess: func() (string, bool) { return "other", pair.known }, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
		})
	}
	pair.relay, pair.helper = newRelay(pair.direct), newRelay(pair.helperDirect)
	return pair
}

var (
	errRefused    = &objectstore.RefusedError{Status: 503, Cause: metastore.ErrFault}
	errUnanswered = &objectstore.UnansweredError{Cause: metastore.ErrFault}
	spec          = json.RawMessage(`1`)
)

func TestRefusedCallsGoThroughHelper(t *testing.T) {
	p := newRelayPair()
	p.direct.fail = errRefused
	ctx := t.Context()
	created, err := p.relay.Create(ctx, "k", "n", spec)
	if err != nil || created.Revision == 0 {
		t.Fatalf("create: %+v, %v", created, err)
	}
	var conflict *objectstore.ConflictError
	if _, err := p.relay.Create(ctx, "k", "n", json.RawMessage(`2`)); !errors.As(err, &conflict) || string(conflict.Current.Spec) != "1" {
		t.Errorf("second create: %v", err)
	}
	if _, err := p.relay.Replace(ctx, "k", "n", json.RawMessage(`3`), created.Revision+9); !errors.As(err, &conflict) {
		t.Errorf("replace at another revision: %v", err)
	}
	if object, err := p.relay.Get(ctx, "k", "n", objectstore.Linearizable); err != nil || string(object.Spec) != "1" {
		t.Errorf("get: %+v, %v", object, err)
	}
	if _, err := p.relay.Get(ctx, "k", "none", objectstore.Linearizable); !errors.Is(err, objectstore.ErrNotFound) {
		t.Errorf("get of a missing object: %v", err)
	}
	if page, err := p.relay.List(ctx, "k", "", objectstore.Linearizable); err != nil || len(page.Objects) != 1 || page.Revision == 0 {
		t.Errorf("list: %+v, %v", page, err)
	}
	if p.direct.calls != 1 {
		t.Errorf("%d calls on the direct connection, want only the one that failed", p.direct.calls)
	}
}

// Guards against repeating a call without a response, which may have taken effect.
func TestUnansweredCallIsNotRetried(t *testing.T) {
	p := newRelayPair()
	p.direct.fail = errUnanswered
	var unanswered *objectstore.UnansweredError
	if _, err := p.relay.Create(t.Context(), "k", "n", spec); !errors.As(err, &unanswered) || p.helperDirect.calls != 0 {
		t.Errorf("create: %v, %d calls through the helper, want none", err, p.helperDirect.calls)
	}
	if _, err := p.relay.Create(t.Context(), "k", "n", spec); err != nil {
		t.Errorf("next call: %v", err)
	}
}

func TestErrorsKeepMeaningThroughHelper(t *testing.T) {
	for _, test := range []struct {
		name  string
		set   func(p *relayPair)
		wants func(err error) bool
	}{
		{"refused to both", func(p *relayPair) { p.helperDirect.fail = errRefused }, func(err error) bool {
			var refused *objectstore.RefusedError
			return errors.As(err, &refused) && refused.Status == 503
		}},
		{"no response to the helper", func(p *relayPair) { p.helperDirect.fail = errUnanswered }, isUnanswered},
		{"helper silent", func(p *relayPair) { p.reachable = false }, isUnanswered},
		{"no helper known", func(p *relayPair) { p.known = false }, func(err error) bool {
			var refused *objectstore.RefusedError
			return errors.As(err, &refused)
		}},
	} {
		p := newRelayPair()
		p.direct.fail = errRefused
		test.set(p)
		if _, err := p.relay.Create(t.Context(), "k", "n", spec); !test.wants(err) {
			t.Errorf("%s: unexpected error %v", test.name, err)
		}
	}
}

func isUnanswered(err error) bool {
	var unanswered *objectstore.UnansweredError
	return errors.As(err, &unanswered)
}

// Guards against two refused nodes sending a call back and forth.
func TestCallsMakeOneHop(t *testing.T) {
	p := newRelayPair()
	p.direct.fail, p.helperDirect.fail = errRefused, errRefused
	p.relay.Create(t.Context(), "k", "n", spec)
	if p.direct.calls != 1 || p.helperDirect.calls != 1 {
		t.Errorf("%d direct calls and %d by the helper, want 1 each", p.direct.calls, p.helperDirect.calls)
	}
}
