package watchcache

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	// soon is the time within which changes arrive in normal operation.
	soon = 500 * time.Millisecond
	// bound is the time within which a configuration must be in force on every healthy
	// node, whatever fails elsewhere.
	bound = 1900 * time.Millisecond
)

func TestOneNodeReadsForAll(t *testing.T) {
	inCluster(t, 20, func(c *cluster) {
		if readers := c.readers(); len(readers) != 1 {
			t.Fatalf("%d nodes read the store", len(readers))
		}
		before := int64(0)
		for _, node := range c.nodes {
			before += node.store.calls.Load()
		}
		for round := range 10 {
			c.store.Write(testKind, "first", round+2)
			settle(time.Second)
		}
		c.await(c.nodes, "first", "11", soon)
		c.store.Remove(testKind, "first")
		c.await(c.nodes, "first", "", soon)
		calls := -before
		for _, node := range c.nodes {
			calls += node.store.calls.Load()
		}
		if calls > 14 {
			t.Errorf("%d calls for 11 changes", calls)
		}
	})
}

// troubles are the faults of the followed node.
var troubles = []struct {
	name  string
	begin func(reader *testNode)
}{
	{"killed", func(reader *testNode) { reader.dead.Store(true); reader.stop() }},
	{"cut from the store", func(reader *testNode) { reader.store.cut.Store(true) }},
	{"stopped as planned", func(reader *testNode) { reader.source.AnnounceShutdown() }},
}

// Guards against late changes right after the reader was lost, at any phase of the polls.
func TestLossOfTheReaderDelaysNewsWithinTheBound(t *testing.T) {
	for _, trouble := range troubles {
		t.Run(trouble.name, func(t *testing.T) {
			for phase := range 8 {
				inCluster(t, 6, func(c *cluster) {
					reader, followers := c.readers()[0], c.followers()
					settle(time.Duration(phase) * 77 * time.Millisecond)
					trouble.begin(reader)
					settle(time.Duration(phase%3) * 130 * time.Millisecond)
					c.store.Write(testKind, "first", 2)
					c.await(followers, "first", "2", bound)
				})
			}
		})
	}
}

// The first two nodes in rank are lost at once.
func TestLossOfTwoReadersDelaysNewsWithinTheBound(t *testing.T) {
	for phase := range 6 {
		inCluster(t, 7, func(c *cluster) {
			first := c.readers()[0]
			others := c.followers()
			others[0].source.exclusions.exclude(first.node.Name, time.Hour)
			position := others[0].source.position()
			second := position.parent
			if !position.follows {
				// It is the second in rank itself.
				second = others[0].node
			}
			settle(time.Duration(phase) * 77 * time.Millisecond)
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
			c.await(rest, "first", "2", bound)
		})
	}
}

func TestOneReaderIsLeftAfterALoss(t *testing.T) {
	inCluster(t, 8, func(c *cluster) {
		lost := c.readers()[0]
		lost.dead.Store(true)
		lost.stop()
		settle(30 * time.Second)
		readers := c.readers()
		if len(readers) != 1 || readers[0] == lost {
			t.Errorf("%d nodes read the store", len(readers))
		}
	})
}

// Guards against a flood of calls by all nodes during an outage, and against entries that
// are missing because of it being taken for deleted.
func TestOutageForAll(t *testing.T) {
	inCluster(t, 10, func(c *cluster) {
		reader := c.readers()[0]
		for _, node := range c.nodes {
			node.store.cut.Store(true)
		}
		settle(4 * time.Second)
		c.store.Write(testKind, "first", 2)
		c.store.Write(testKind, "second", 1)
		c.store.Remove(testKind, "second")
		for _, node := range c.nodes {
			node.store.cut.Store(false)
		}
		c.await(c.nodes, "first", "2", 3*time.Second)
		if readers := c.readers(); len(readers) != 1 || readers[0] != reader {
			t.Errorf("%d nodes read the store after the outage", len(readers))
		}
		for _, node := range c.nodes {
			if !node.sink.afterOutage {
				t.Errorf("%s takes vanished entries for gone replicas", node.node.Name)
			}
		}
	})
}

func TestForgottenHistoryReachesFollowersAsAListing(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		c.store.Write(testKind, "second", 1)
		c.await(c.nodes, "second", "1", soon)
		c.store.Remove(testKind, "second")
		c.store.Forget()
		c.store.Write(testKind, "third", 1)
		c.await(c.nodes, "third", "1", 2*time.Second)
		c.await(c.nodes, "second", "", soon)
	})
}

func object(name string, revision uint64) objectstore.Object {
	return objectstore.Object{Name: name, Revision: revision, Spec: []byte("1")}
}

func TestCacheGoesForwardOnly(t *testing.T) {
	sink := &recorder{}
	cache := newCache(testKind, sink, LongWatchTimeout, func() {})
	if cache.Advance(0, nil, 3, false) {
		t.Error("changes are taken before a listing")
	}
	cache.Replace([]objectstore.Object{object("a", 5)}, 10, false)
	if cache.Replace(nil, 9, false) {
		t.Error("an older listing is taken")
	}
	if cache.Advance(9, []objectstore.Change{{Object: object("a", 5), Deleted: true}}, 12, false) {
		t.Error("changes since another revision are taken")
	}
	if !cache.Advance(10, []objectstore.Change{{Object: object("b", 12)}}, 12, false) || cache.Revision() != 12 {
		t.Error("the next changes are not taken")
	}
	if sink.spec("a") == "" || sink.spec("b") == "" {
		t.Errorf("the sink has %v", sink.objects)
	}
}

func TestUpdateSinceARevision(t *testing.T) {
	cache := newCache(testKind, &recorder{}, LongWatchTimeout, func() {})
	if _, found := cache.UpdateSince(0, false); found {
		t.Error("an update of a kind that was never listed")
	}
	cache.Replace([]objectstore.Object{object("a", 5)}, 10, false)
	for at := uint64(11); at <= 11+minHistory+20; at++ {
		cache.Advance(at-1, []objectstore.Change{{Object: object("b", at)}}, at, false)
	}
	last := uint64(11 + minHistory + 20)
	for _, test := range []struct {
		since   uint64
		found   bool
		whole   bool
		changes int
	}{
		{0, true, true, 2}, {3, true, true, 2}, {12, true, true, 2}, {last - minHistory, true, false, minHistory},
		{last - 3, true, false, 3}, {last, false, false, 0}, {last + 9, false, false, 0},
	} {
		update, found := cache.UpdateSince(test.since, false)
		if found != test.found || update.Snapshot != test.whole || len(update.Changes) != test.changes {
			t.Errorf("since %d: found %v, whole %v, %d changes", test.since, found, update.Snapshot, len(update.Changes))
		}
	}
}

// The store refuses the reader only: a fallback peer passes it the changes, and its
// followers keep it. Guards against two refused nodes taking each other for current.
func TestNodeWithoutTheStoreIsHelpedByAPeer(t *testing.T) {
	inCluster(t, 6, func(c *cluster) {
		reader := c.readers()[0]
		reader.store.cut.Store(true)
		settle(3 * time.Second)
		c.store.Write(testKind, "first", 2)
		c.await(c.nodes, "first", "2", bound)
		if _, known := reader.source.PeerWithStoreAccess(); !known {
			t.Error("the reader knows no node through which calls could go")
		}
		for _, node := range c.nodes {
			node.store.cut.Store(true)
		}
		settle(4 * time.Second)
		for _, node := range c.nodes {
			if _, known := node.source.PeerWithStoreAccess(); known {
				t.Errorf("%s takes another node for current while the store answers nobody", node.node.Name)
			}
		}
		for _, node := range c.nodes {
			node.store.cut.Store(false)
		}
		settle(30 * time.Second)
		if readers := c.readers(); len(readers) != 1 {
			t.Errorf("%d nodes read the store in the end", len(readers))
		}
	})
}

// Guards against a follower of a reader with a fallback peer sending its store calls to
// that reader, which the store refuses: the results it writes would be lost.
func TestFollowerOfAHelpedReaderCallsThroughItsHelper(t *testing.T) {
	inCluster(t, 6, func(c *cluster) {
		reader, follower := c.readers()[0], c.followers()[0]
		reader.store.cut.Store(true)
		follower.store.cut.Store(true)
		cutAt := time.Now()
		for range 40 {
			settle(100 * time.Millisecond)
			if address, known := follower.source.PeerWithStoreAccess(); known && address == reader.node.Address && time.Since(cutAt) > bound {
				t.Fatalf("the follower would call through %s, which the store does not answer", address)
			}
		}
		if _, known := follower.source.PeerWithStoreAccess(); !known {
			t.Error("the follower knows no node through which calls could go")
		}
	})
}

// Calls sent during an outage fail after its end. Guards against the reader reporting
// unsure because of that, which would make all its followers read the recovering store.
func TestAfterAnOutageItsReaderAloneReadsOn(t *testing.T) {
	for phase := range 8 {
		inCluster(t, 10, func(c *cluster) {
			reader, followers := c.readers()[0], c.followers()
			for _, node := range c.nodes {
				node.store.cut.Store(true)
			}
			settle(5*time.Second + time.Duration(phase)*77*time.Millisecond)
			for _, node := range c.nodes {
				node.store.cut.Store(false)
			}
			c.store.Write(testKind, "first", 2)
			c.await(c.nodes, "first", "2", time.Second)
			settle(4 * time.Second)
			reading := 0
			for _, node := range followers {
				if node.store.calls.Load() > 0 {
					reading++
				}
			}
			// One may have been polled as a fallback peer just before the store became
			// available to the reader.
			if reading > 1 {
				t.Errorf("phase %d: %d nodes read the store besides %s", phase, reading, reader.node.Name)
			}
		})
	}
}

// Guards against readers calling an unavailable store again and again instead of waiting
// for a successful probe.
func TestOutageCostsFewCalls(t *testing.T) {
	inCluster(t, 10, func(c *cluster) {
		c.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
		lists, watches := c.store.Calls("list"), c.store.Calls("watch")
		settle(10 * time.Second)
		if calls := c.store.Calls("list") + c.store.Calls("watch") - lists - watches; calls > 40 {
			t.Errorf("%d calls in an outage of ten seconds", calls)
		}
		c.store.SetFault(nil)
		c.store.Write(testKind, "first", 2)
		c.await(c.nodes, "first", "2", time.Second)
	})
}

// Guards against changes delayed until the end of a long watch whose response alone was
// lost: the reader then still reports current.
func TestAWatchWhoseAnswerAloneIsLostHoldsNoNewsUp(t *testing.T) {
	inCluster(t, 4, func(c *cluster) {
		reader := c.readers()[0]
		reader.store.losesWatch.Store(true)
		c.store.Write(testKind, "first", 2)
		// Longer than the store counts as unavailable.
		settle(4 * time.Second)
		c.store.Write(testKind, "first", 3)
		c.await(c.nodes, "first", "3", bound)
	})
}

// Guards against following a node of an earlier version, which doesn't know a new kind,
// without ever listing that kind.
func TestReaderThatDoesNotKnowAKindIsNotFollowed(t *testing.T) {
	inCluster(t, 3, func(c *cluster) {
		c.store.Write("newer", "first", 1)
		starting, sink := c.followers()[0], &recorder{}
		starting.stop()
		starting.source.Add("newer", sink, ShortWatchTimeout)
		ctx, cancel := context.WithCancel(c.t.Context())
		starting.stop = cancel
		go starting.source.Run(ctx)
		settle(staleAge + bound)
		if sink.spec("first") == "" {
			t.Error("a kind that the reader does not know has not been listed")
		}
	})
}

// Guards against caches that seem current after the machine was suspended.
func TestCopiesAgeWhileTheMachineIsSuspended(t *testing.T) {
	suspended := time.Duration(0)
	source := &Source{freshness: freshness{clock: func() time.Time { return time.Unix(0, 0).Add(suspended) }}}
	source.freshness.markCurrent()
	suspended = 5 * time.Second
	if age := source.CacheAge(); age != suspended {
		t.Errorf("copies are %v old after %v", age, suspended)
	}
}
