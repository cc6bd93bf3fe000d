package storerelay

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// link delivers calls to other nodes at linkBytesPerSecond each, and none to silent ones.
type link struct {
	mutex sync.Mutex
	store *metastore.Store
	// idleAt is when each node's link has delivered all that was sent.
	idleAt map[string]time.Time
	silent map[string]bool
	sent   map[string]int
}

const linkBytesPerSecond = 1 << 20

func (*link) Send(string, wire.Message)        {}
func (*link) Broadcast([]string, wire.Message) {}

func (l *link) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	call := message.(*wire.StoreCall)
	l.mutex.Lock()
	l.sent[address]++
	start := time.Now()
	if l.idleAt[address].After(start) {
		start = l.idleAt[address]
	}
	l.idleAt[address] = start.Add(time.Duration(float64(len(call.Content)) / linkBytesPerSecond * float64(time.Second)))
	wait, silent := time.Until(l.idleAt[address]), l.silent[address]
	l.mutex.Unlock()
	go func() {
		if silent || wait > timeout {
			time.Sleep(timeout)
			done(nil, environment.ErrPeerUnreachable)
			return
		}
		time.Sleep(wait)
		if wire.StoreVerb(call.Verb) == wire.StoreGet {
			_, err := l.store.Get(context.Background(), call.Kind, call.Name, objectstore.MayBeStale)
			done(replyTo(err), nil)
			return
		}
		_, err := l.store.Create(context.Background(), call.Kind, call.Name, call.Content)
		done(replyTo(err), nil)
	}()
}

// newRelayOverLink returns a relay over a link, for a node that the store refuses.
func newRelayOverLink(l *link, others ...string) *Relay {
	return New(Config{
		Direct: &testConnection{Store: l.store, fail: errRefused}, Peers: l, PeerWithStoreAccess: func() (string, bool) { return "reader", true },
		LargeCallHelpers: func() []string { return others }, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
	})
}

func newLink() *link {
	return &link{store: metastore.New(), idleAt: map[string]time.Time{}, silent: map[string]bool{}, sent: map[string]int{}}
}

// largeSpec returns a spec of 600 KiB.
func largeSpec() json.RawMessage {
	return json.RawMessage(`"` + string(bytes.Repeat([]byte("x"), 600<<10)) + `"`)
}

// Guards against several nodes that the store refuses sending their large results through
// the same helper, which delays all of them.
func TestLargeCallsUseSeveralHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink()
		start := time.Now()
		var owners sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			relay := newRelayOverLink(l, "first-of-"+name, "second-of-"+name)
			owners.Go(func() {
				if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", name, largeSpec()); err != nil {
					t.Error(err)
				}
			})
		}
		owners.Wait()
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("calls took %s, want at most 2 s", took)
		}
		time.Sleep(2 * relayTimeout)
	})
}

// Guards against sending further calls to a helper that did not reply.
func TestSilentHelperIsExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink()
		l.silent["first"] = true
		relay := newRelayOverLink(l, "first", "second")
		if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", "one", largeSpec()); err != nil {
			t.Error(err)
		}
		before := l.sent["first"]
		if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", "two", largeSpec()); err != nil {
			t.Error(err)
		}
		if l.sent["second"] == 0 || l.sent["first"] != before {
			t.Errorf("messages by node: %v, want some to second and no more to first", l.sent)
		}
		time.Sleep(2 * relayTimeout)
	})
}
