package watchcache

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinTimeout bounds how long a starting node waits for the list of its peers. Without
	// the wait, hundreds of nodes that start together would all read the store.
	joinTimeout       = 3 * time.Second
	joinCheckInterval = 20 * time.Millisecond
)

// Source keeps the caches of all kinds current, by reading the store or by following a node
// that reads it. It is safe for concurrent use.
type Source struct {
	config  Config
	metrics *metrics
	caches  []*Cache
	probe   storeProbe
	health  *storeHealth
	// changed is broadcast after each change of a cache or of the status that this node
	// reports.
	changed    *changeSignal
	reading    readMode
	exclusions *exclusions
	freshness  freshness
	accessPeer accessPeer
	// pollHistory is only used by Run's goroutine.
	pollHistory pollHistory
	leaving     atomic.Bool
}

// NewSource returns a source that has not started.
func NewSource(config Config) *Source {
	changed := newChangeSignal()
	return &Source{
		config:     config,
		metrics:    newMetrics(config.Registry),
		probe:      storeProbe{store: config.Store, kind: config.ProbeKind, name: config.ProbeName},
		health:     newStoreHealth(config.Logger, changed.broadcast),
		changed:    changed,
		exclusions: newExclusions(),
		freshness:  freshness{clock: config.Clock},
	}
}

// Add registers a sink for a kind. WatchTimeout is how long the store may hold a watch of
// it: LongWatchTimeout or ShortWatchTimeout. Add must be called before Run.
func (s *Source) Add(kind string, sink Sink, watchTimeout time.Duration) {
	cache := newCache(kind, sink, watchTimeout, s.changed.broadcast)
	cache.logger = s.config.Logger
	s.caches = append(s.caches, cache)
}

// Run keeps the caches current until the context ends.
func (s *Source) Run(ctx context.Context) {
	s.awaitNodes(ctx)
	s.freshness.markCurrent()
	for ctx.Err() == nil {
		if position := s.position(); position.follows {
			s.follow(ctx, position)
		} else {
			s.read(ctx)
		}
	}
}

// awaitNodes waits until the peers are known, at most joinTimeout.
func (s *Source) awaitNodes(ctx context.Context) {
	for start := time.Now(); !s.config.JoinAttempted() && time.Since(start) < joinTimeout; {
		if !objectstore.Sleep(ctx, joinCheckInterval) {
			return
		}
	}
}

// AnnounceShutdown announces in replies to polls that this node is stopping, so that its
// followers switch to other nodes.
func (s *Source) AnnounceShutdown() {
	s.leaving.Store(true)
	s.changed.broadcast()
}

// CacheAge returns how long ago the caches were last known to be current.
func (s *Source) CacheAge() time.Duration { return s.freshness.age() }

// PeerWithStoreAccess returns the address of a peer that reported within accessReportTTL
// that the store is available to it, if one is known.
func (s *Source) PeerWithStoreAccess() (address string, known bool) { return s.accessPeer.current() }

// listed reports whether every kind has been listed at least once.
func (s *Source) listed() bool {
	for _, cache := range s.caches {
		if !cache.Listed() {
			return false
		}
	}
	return true
}

// position returns this node's position among the nodes of its area that are not excluded,
// or that of a reader while this node is required to read the store.
func (s *Source) position() treePosition {
	nodes := s.config.Nodes()
	if s.reading.isRequired() {
		return treePosition{mayRead: true}
	}
	area, _ := s.followedArea(nodes)
	return positionOf(s.config.Self, s.exclusions.allowed(area.nodes))
}
