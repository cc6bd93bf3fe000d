package watchcache

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	// normalDelay is the time within which changes arrive in normal operation.
	normalDelay = 500 * time.Millisecond
	// maxDelay is the time within which a configuration must be in force on every healthy
	// node, whatever fails elsewhere.
	maxDelay = 1900 * time.Millisecond
)

func TestZoneHasOneReader(t *testing.T) {
	withCluster(t, 20, func(c *cluster) {
		if readers := c.readers(); len(readers) != 1 {
			t.Fatalf("%d nodes read the store, want 1", len(readers))
		}
		before := int64(0)
		for _, node := range c.nodes {
			before += node.store.servedCalls.Load()
		}
		for round := range 10 {
			c.store.Write(testKind, "first", round+2)
			advance(time.Second)
		}
		c.waitFor(c.nodes, "first", "11", normalDelay)
		c.store.Remove(testKind, "first")
		c.waitFor(c.nodes, "first", "", normalDelay)
		calls := -before
		for _, node := range c.nodes {
			calls += node.store.servedCalls.Load()
		}
		if calls > 14 {
			t.Errorf("%d store calls for 11 changes, want at most 14", calls)
		}
	})
}

// readerFaults are the faults of a followed node.
var readerFaults = []struct {
	name   string
	inject func(reader *testNode)
}{
	{"killed", func(reader *testNode) { reader.dead.Store(true); reader.stop() }},
	{"cut from the store", func(reader *testNode) { reader.store.cut.Store(true) }},
	{"shut down", func(reader *testNode) { reader.source.AnnounceShutdown() }},
}

// Guards against late changes right after the reader was lost, at any phase of the polls.
func TestChangeDelayAfterReaderLoss(t *testing.T) {
	for _, fault := range readerFaults {
		t.Run(fault.name, func(t *testing.T) {
			for phase := range 8 {
				withCluster(t, 6, func(c *cluster) {
					reader, followers := c.readers()[0], c.followers()
					advance(time.Duration(phase) * 77 * time.Millisecond)
					fault.inject(reader)
					advance(time.Duration(phase%3) * 130 * time.Millisecond)
					c.store.Write(testKind, "first", 2)
					c.waitFor(followers, "first", "2", maxDelay)
				})
			}
		})
	}
}

// The first two nodes in rank are lost at once.
func TestChangeDelayAfterTwoReaderLosses(t *testing.T) {
	for phase := range 6 {
		withCluster(t, 7, func(c *cluster) {
			first := c.readers()[0]
			others := c.followers()
			others[0].source.exclusions.exclude(first.node.Name, time.Hour)
			position := others[0].source.position()
			second := position.parent
			if !position.follows {
				// It is the second in rank itself.
				second = others[0].node
			}
			advance(time.Duration(phase) * 77 * time.Millisecond)
			var rest []*testNode
			for _, node := range c.nodes {
				if node != first && node.node != second {
					rest = append(rest, node)
					continue
				}
				node.dead.Store(true)
				node.stop()
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(rest, "first", "2", maxDelay)
		})
	}
}

func TestOneReaderAfterLoss(t *testing.T) {
	withCluster(t, 8, func(c *cluster) {
		lost := c.readers()[0]
		lost.dead.Store(true)
		lost.stop()
		advance(30 * time.Second)
		readers := c.readers()
		if len(readers) != 1 || readers[0] == lost {
			t.Errorf("%d nodes read the store, want 1 other than the lost one", len(readers))
		}
	})
}

// Guards against a flood of calls by all nodes during an outage, and against entries that
// are missing because of it being taken for deleted.
func TestStoreOutageForAllNodes(t *testing.T) {
	withCluster(t, 10, func(c *cluster) {
		reader := c.readers()[0]
		for _, node := range c.nodes {
			node.store.cut.Store(true)
		}
		advance(4 * time.Second)
		c.store.Write(testKind, "first", 2)
		c.store.Write(testKind, "second", 1)
		c.store.Remove(testKind, "second")
		for _, node := range c.nodes {
			node.store.cut.Store(false)
		}
		c.waitFor(c.nodes, "first", "2", 3*time.Second)
		if readers := c.readers(); len(readers) != 1 || readers[0] != reader {
			t.Errorf("%d nodes read the store after the outage, want the previous reader", len(readers))
		}
		for _, node := range c.nodes {
			if !node.sink.afterOutage {
				t.Errorf("%s treats entries missing because of the outage as deleted", node.node.Name)
			}
		}
	})
}

func TestLostHistoryReachesFollowersAsSnapshot(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		c.store.Write(testKind, "second", 1)
		c.waitFor(c.nodes, "second", "1", normalDelay)
		c.store.Remove(testKind, "second")
		c.store.CompactHistory()
		c.store.Write(testKind, "third", 1)
		c.waitFor(c.nodes, "third", "1", 2*time.Second)
		c.waitFor(c.nodes, "second", "", normalDelay)
	})
}

func object(name string, revision uint64) objectstore.Object {
	return objectstore.Object{Name: name, Revision: revision, Spec: []byte("1")}
}

func TestCacheRejectsOlderRevisions(t *testing.T) {
	sink := &recordingSink{}
	cache := newCache(testKind, sink, LongWatchTimeout, func() {})
	if cache.Advance(0, nil, 3, false) {
		t.Error("changes were accepted before a listing")
	}
	cache.Replace([]objectstore.Object{object("a", 5)}, 10, false)
	if cache.Replace(nil, 9, false) {
		t.Error("an older listing was accepted")
	}
	if cache.Advance(9, []objectstore.Change{{Object: object("a", 5), Deleted: true}}, 12, false) {
		t.Error("changes since another revision were accepted")
	}
	if !cache.Advance(10, []objectstore.Change{{Object: object("b", 12)}}, 12, false) || cache.Revision() != 12 {
		t.Error("the next changes were rejected")
	}
	if sink.spec("a") == "" || sink.spec("b") == "" {
		t.Errorf("sink has %v, want a and b", sink.objects)
	}
}

func TestUpdateSince(t *testing.T) {
	cache := newCache(testKind, &recordingSink{}, LongWatchTimeout, func() {})
	if _, found := cache.UpdateSince(0, false); found {
		t.Error("got an update of a kind that was never listed")
	}
	cache.Replace([]objectstore.Object{object("a", 5)}, 10, false)
	for at := uint64(11); at <= 11+minHistory+20; at++ {
		cache.Advance(at-1, []objectstore.Change{{Object: object("b", at)}}, at, false)
	}
	last := uint64(11 + minHistory + 20)
	for _, test := range []struct {
		since    uint64
		found    bool
		snapshot bool
		changes  int
	}{
		{0, true, true, 2}, {3, true, true, 2}, {12, true, true, 2}, {last - minHistory, true, false, minHistory},
		{last - 3, true, false, 3}, {last, false, false, 0}, {last + 9, false, false, 0},
	} {
		update, found := cache.UpdateSince(test.since, false)
		if found != test.found || update.Snapshot != test.snapshot || len(update.Changes) != test.changes {
			t.Errorf("since %d: found %v, snapshot %v, %d changes", test.since, found, update.Snapshot, len(update.Changes))
		}
	}
}

// The store refuses the reader only: a helper passes it the changes, and its followers keep
// it. Guards against two refused nodes taking each other for current.
func TestReaderWithoutStoreFollowsHelper(t *testing.T) {
	withCluster(t, 6, func(c *cluster) {
		reader := c.readers()[0]
		reader.store.cut.Store(true)
		advance(3 * time.Second)
		c.store.Write(testKind, "first", 2)
		c.waitFor(c.nodes, "first", "2", maxDelay)
		if _, known := reader.source.PeerWithStoreAccess(); !known {
			t.Error("the reader knows no peer to which the store is available")
		}
		for _, node := range c.nodes {
			node.store.cut.Store(true)
		}
		advance(4 * time.Second)
		for _, node := range c.nodes {
			if _, known := node.source.PeerWithStoreAccess(); known {
				t.Errorf("%s considers a peer current while the store is unavailable to all", node.node.Name)
			}
		}
		for _, node := range c.nodes {
			node.store.cut.Store(false)
		}
		advance(30 * time.Second)
		if readers := c.readers(); len(readers) != 1 {
			t.Errorf("%d nodes read the store in the end, want 1", len(readers))
		}
	})
}

// Guards against a follower of a helped reader sending its store calls to that reader,
// which the store refuses: the results it writes would be lost.
func TestFollowerOfHelpedReaderCallsItsHelper(t *testing.T) {
	withCluster(t, 6, func(c *cluster) {
		reader, follower := c.readers()[0], c.followers()[0]
		reader.store.cut.Store(true)
		follower.store.cut.Store(true)
		cutAt := time.Now()
		for range 40 {
			advance(100 * time.Millisecond)
			if address, known := follower.source.PeerWithStoreAccess(); known && address == reader.node.Address && time.Since(cutAt) > maxDelay {
				t.Fatalf("the follower would send its calls to %s, to which the store is unavailable", address)
			}
		}
		if _, known := follower.source.PeerWithStoreAccess(); !known {
			t.Error("the follower knows no peer to which the store is available")
		}
	})
}

// Calls sent during an outage fail after its end. Guards against the reader reporting
// unsure because of that, which would make all its followers read the recovering store.
func TestReaderIsKeptAfterOutage(t *testing.T) {
	for phase := range 8 {
		withCluster(t, 10, func(c *cluster) {
			reader, followers := c.readers()[0], c.followers()
			for _, node := range c.nodes {
				node.store.cut.Store(true)
			}
			advance(5*time.Second + time.Duration(phase)*77*time.Millisecond)
			for _, node := range c.nodes {
				node.store.cut.Store(false)
			}
			c.store.Write(testKind, "first", 2)
			c.waitFor(c.nodes, "first", "2", time.Second)
			advance(4 * time.Second)
			readers := 0
			for _, node := range followers {
				if node.store.servedCalls.Load() > 0 {
					readers++
				}
			}
			// One may have been polled as a helper just before the store became available
			// to the reader.
			if readers > 1 {
				t.Errorf("phase %d: %d nodes besides %s read the store, want at most 1", phase, readers, reader.node.Name)
			}
		})
	}
}

// Guards against readers calling an unavailable store again and again instead of waiting
// for a successful probe.
func TestOutageCostsFewCalls(t *testing.T) {
	withCluster(t, 10, func(c *cluster) {
		c.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
		lists, watches := c.store.Calls("list"), c.store.Calls("watch")
		advance(10 * time.Second)
		if calls := c.store.Calls("list") + c.store.Calls("watch") - lists - watches; calls > 40 {
			t.Errorf("%d calls in an outage of ten seconds, want at most 40", calls)
		}
		c.store.SetFault(nil)
		c.store.Write(testKind, "first", 2)
		c.waitFor(c.nodes, "first", "2", time.Second)
	})
}

// Guards against changes delayed until the end of a long watch whose response alone was
// lost: the reader then still reports current.
func TestChangeDelayAfterLostWatchResponse(t *testing.T) {
	withCluster(t, 4, func(c *cluster) {
		reader := c.readers()[0]
		reader.store.loseNextWatch.Store(true)
		c.store.Write(testKind, "first", 2)
		// Longer than it takes until the store counts as available again.
		advance(4 * time.Second)
		c.store.Write(testKind, "first", 3)
		c.waitFor(c.nodes, "first", "3", maxDelay)
	})
}

// Guards against never listing a new kind because the followed node, of an earlier version,
// doesn't know it.
func TestReaderWithoutKindIsNotFollowed(t *testing.T) {
	withCluster(t, 3, func(c *cluster) {
		c.store.Write("newer", "first", 1)
		starting, sink := c.followers()[0], &recordingSink{}
		starting.stop()
		starting.source.Add("newer", sink, ShortWatchTimeout)
		ctx, cancel := context.WithCancel(c.t.Context())
		starting.stop = cancel
		go starting.source.Run(ctx)
		advance(staleAge + maxDelay)
		if sink.spec("first") == "" {
			t.Error("kind unknown to the reader was not listed")
		}
	})
}

// Guards against caches that seem current after the machine was suspended.
func TestCacheAgeIncludesSuspension(t *testing.T) {
	suspended := time.Duration(0)
	source := &Source{freshness: freshness{clock: func() time.Time { return time.Unix(0, 0).Add(suspended) }}}
	source.freshness.markCurrent()
	suspended = 5 * time.Second
	if age := source.CacheAge(); age != suspended {
		t.Errorf("cache age is %v after a suspension of %v", age, suspended)
	}
}
