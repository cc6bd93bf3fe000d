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

// link delivers calls to other nodes at linkBytes per second each, and none to silent ones.
type link struct {
	mutex sync.Mutex
	store *metastore.Store
	// free is when each node's link has delivered all that was sent.
	free   map[string]time.Time
	silent map[string]bool
	sent   map[string]int
}

// linkBytes is the rate of a link in bytes per second.
const linkBytes = 1 << 20

func (*link) Send(string, wire.Message)        {}
func (*link) Broadcast([]string, wire.Message) {}

func (l *link) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	call := message.(*wire.StoreCall)
	l.mutex.Lock()
	l.sent[address]++
	begun := time.Now()
	if l.free[address].After(begun) {
		begun = l.free[address]
	}
	l.free[address] = begun.Add(time.Duration(float64(len(call.Content)) / linkBytes * float64(time.Second)))
	wait, silent := time.Until(l.free[address]), l.silent[address]
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

// over returns a relay over a link, for a node that the store refuses.
func over(l *link, others ...string) *Relay {
	return New(Config{
		Direct: &gate{Store: l.store, fail: refusal}, Peers: l, PeerWithStoreAccess: func() (string, bool) { return "reader", true },
		LargeCallHelpers: func() []string { return others }, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
	})
}

func newLink() *link {
	return &link{store: metastore.New(), free: map[string]time.Time{}, silent: map[string]bool{}, sent: map[string]int{}}
}

// large returns an object of 600 KiB.
func large() json.RawMessage {
	return json.RawMessage(`"` + string(bytes.Repeat([]byte("x"), 600<<10)) + `"`)
}

// Guards against several nodes that the store refuses sending their large results through
// the same helper, which delays all of them.
func TestLargeObjectsOfSeveralNodesArriveThroughOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink()
		began := time.Now()
		var owners sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			relay := over(l, "first-of-"+name, "second-of-"+name)
			owners.Go(func() {
				if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", name, large()); err != nil {
					t.Error(err)
				}
			})
		}
		owners.Wait()
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("it took %s", took)
		}
		time.Sleep(2 * relayTimeout)
	})
}

func TestANodeThatDoesNotCarryACallIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink()
		l.silent["first"] = true
		relay := over(l, "first", "second")
		if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", "one", large()); err != nil {
			t.Error(err)
		}
		before := l.sent["first"]
		if _, _, err := objectstore.CreateWithRetry(t.Context(), relay, "results", "two", large()); err != nil {
			t.Error(err)
		}
		if l.sent["second"] == 0 || l.sent["first"] != before {
			t.Errorf("sent %v", l.sent)
		}
		time.Sleep(2 * relayTimeout)
	})
}
