package directory

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against watching and listing nodes treating the same unreadable entry differently.
func TestUnreadableEntryListAndWatch(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		store.Write("servers", "two", ready("s"))
		watching := newInformedTable(ctx, store)
		settle(time.Second)
		store.Write("servers", "one", "invalid entry")
		settle(time.Second)
		listing := newInformedTable(ctx, store)
		settle(time.Second)
		for way, table := range map[string]*Table{"watch": watching, "listing": listing} {
			if table.View().Replicas["one"] != nil {
				t.Errorf("a replica with an unreadable entry is used after a %s", way)
			}
			if table.View().Replicas["two"] == nil {
				t.Errorf("the replica with a valid entry is not used after a %s", way)
			}
		}
		store.Write("servers", "one", ready("s"))
		settle(time.Second)
		if watching.View().Replicas["one"] == nil || listing.View().Replicas["one"] == nil {
			t.Error("a replica is not used after its entry was corrected")
		}
	})
}

// Guards against an unreadable entry being treated like a missing one, whose replica is
// kept after an outage.
func TestUnreadableEntryAfterOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		simulateOutage(store)
		store.Write("servers", "one", "invalid entry")
		settle(keepMissing / 2)
		if table.View().Replicas["one"] != nil {
			t.Error("a replica with an unreadable entry is used after an outage")
		}
	})
}
