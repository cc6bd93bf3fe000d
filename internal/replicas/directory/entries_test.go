package directory

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// The entry of a replica was overwritten by another writer, with bytes that could not be
// read. Nodes that watched the store went on using the replica of before, while nodes that
// listed it dropped it: the same content had two meanings, by the way in which it came.
func TestAnEntryThatCannotBeReadNamesNoReplicaWhicheverWayItCame(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		store.Write("servers", "two", ready("s"))
		watching := informed(ctx, store)
		settle(time.Second)
		store.Write("servers", "one", "bytes of another writer")
		settle(time.Second)
		listing := informed(ctx, store)
		settle(time.Second)
		for way, table := range map[string]*Table{"watch": watching, "listing": listing} {
			if table.View().Replicas["one"] != nil {
				t.Errorf("a replica whose entry cannot be read is used after a %s", way)
			}
			if table.View().Replicas["two"] == nil {
				t.Errorf("the other replica is not used after a %s", way)
			}
		}
		store.Write("servers", "one", ready("s"))
		settle(time.Second)
		if watching.View().Replicas["one"] == nil || listing.View().Replicas["one"] == nil {
			t.Error("a replica that has written its entry again is not used")
		}
	})
}

// Around an outage a vanished entry is kept for a while, since its writer may not have
// reached the store. One that was overwritten is there.
func TestAnEntryThatCannotBeReadIsNotKeptAfterAnOutage(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := informed(ctx, store)
		settle(time.Second)
		passOutage(store)
		store.Write("servers", "one", "bytes of another writer")
		settle(keepMissing / 2)
		if table.View().Replicas["one"] != nil {
			t.Error("a replica whose entry cannot be read is used after an outage")
		}
	})
}
