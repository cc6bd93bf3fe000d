package watchcache

import (
	"context"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// polledTime is for how long a node reads after it was polled last.
	polledTime = 10 * time.Second
	// directTime is for how long a node that lost its reader reads itself, and
	// directSpread what is added at random, so that not all stop at once.
	directTime   = 4 * time.Second
	directSpread = 2 * time.Second
	// joinTime is how long a starting node waits until it has tried to learn who else
	// there is, and joinLook the time between looks at that. Hundreds that start together
	// and read the store one by one keep each other from it.
	joinTime = 3 * time.Second
	joinLook = 20 * time.Millisecond
	// modeLook is the time between looks at whether to go on reading.
	modeLook = 250 * time.Millisecond
)

// Source keeps the copies of all kinds, by reading the store or by following a
// node that does. It is safe for use by many goroutines.
type Source struct {
	config  Config
	metrics *metrics
	health  *storeHealth
	caches  []*Cache

	mutex sync.Mutex
	// informers are those that run while this node reads.
	informers []*Informer
	// stopFollowing ends the following under way: a node that is to read itself must
	// not wait for its reader's answer first.
	stopFollowing context.CancelFunc
	// readUntil is until when this node reads, whoever is first in rank.
	readUntil time.Time
	// passedOver are nodes that are not followed, each until a time.
	passedOver map[string]time.Time
	// silences are for how long nodes were passed over that have not answered since.
	silences map[string]time.Duration
	// leftAreas are kinds of areas whose reader is not followed, each until a time.
	leftAreas map[string]time.Time
	// unsureAt is when the copies were last known to be unsure, and newsAt when
	// they were last known to be current.
	unsureAt time.Time
	newsAt   time.Time
	// peer is the node that the store was last known to answer, and helpedAt when
	// one told this node the news while the store did not answer it.
	peer     Node
	peerAt   time.Time
	helpedAt time.Time
	leaving  bool
	// doubts counts in a row how often the reader was unsure although the store
	// answered this node, and doubtSince is since when readers have been so. They
	// belong to Run.
	doubts     int
	doubtSince time.Time
	// taking is how long the news of the last poll took to take, 0 where there were none.
	// hurried is set after a poll without an answer. relayLeftAt is when a node that
	// follows another was last left for want of word, and askedAt when the store was
	// last asked whether it answers. They belong to Run.
	taking      time.Duration
	hurried     bool
	relayLeftAt time.Time
	askedAt     time.Time
	// changed is closed at each change of a copy or of the standing.
	changed chan struct{}
}

// NewSource returns a source that has not started.
func NewSource(config Config) *Source {
	source := &Source{
		config: config, metrics: newMetrics(config.Registry), passedOver: map[string]time.Time{}, silences: map[string]time.Duration{},
		leftAreas: map[string]time.Time{}, changed: make(chan struct{}),
	}
	source.health = newStoreHealth(config.Logger, source.notify)
	return source
}

// Add has a sink kept current with a kind, with watches that the store holds for as
// long as told: LongWait or PromptWait. Call it before Run.
func (s *Source) Add(kind string, sink Sink, wait time.Duration) {
	cache := newCache(kind, sink, wait, s.notify)
	cache.logger = s.config.Logger
	s.caches = append(s.caches, cache)
}

// Run works until the context ends.
func (s *Source) Run(ctx context.Context) {
	s.awaitNodes(ctx)
	s.noteNews()
	for ctx.Err() == nil {
		if place := s.position(); place.follows {
			s.follow(ctx, place)
		} else {
			s.read(ctx)
		}
	}
}

// awaitNodes waits until it is known who else there is, but not for long.
func (s *Source) awaitNodes(ctx context.Context) {
	for began := time.Now(); !s.config.Joined() && time.Since(began) < joinTime; {
		if !objectstore.Sleep(ctx, joinLook) {
			return
		}
	}
}

// Leave has the followers of this node turn to others.
func (s *Source) Leave() {
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	s.notify()
}

// read reads the store for as long as nobody is to be followed.
func (s *Source) read(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var duties sync.WaitGroup
	s.config.Logger.Info("reading the store directly")
	s.metrics.reading.Set(1)
	for _, informer := range s.newInformers() {
		duties.Go(func() { informer.Run(ctx) })
	}
	duties.Go(func() { s.health.probe(ctx, s.config.Store, s.config.ProbeKind, s.config.ProbeName) })
	duties.Go(func() { s.seekHelp(ctx) })
	for objectstore.Sleep(ctx, modeLook) {
		if s.isCurrent() {
			s.noteNews()
		}
		if _, found := s.reader(); found {
			break
		}
	}
	cancel()
	s.doubtSince = time.Time{}
	s.mutex.Lock()
	s.informers = nil
	s.mutex.Unlock()
	s.metrics.reading.Set(0)
	duties.Wait()
}

// newInformers returns an informer for each kind, and keeps them as those of this
// node.
func (s *Source) newInformers() []*Informer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, cache := range s.caches {
		informer := newInformer(s.config.Store, cache, s.config.Logger)
		informer.Failed, informer.Regained, informer.Troubled = s.health.noteFailed, s.health.Regained, s.lastUnsure
		informer.resumes = cache.isLarge()
		s.informers = append(s.informers, informer)
	}
	return s.informers
}

// noteUnsure records that the copies may be behind: entries that are missing
// soon after may be so because of the store.
func (s *Source) noteUnsure() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unsureAt = time.Now()
}

// lastUnsure is when the copies were last known to be unsure, here or at the
// node that was followed.
func (s *Source) lastUnsure() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if failed := s.health.lastFailed(); failed.After(s.unsureAt) {
		return failed
	}
	return s.unsureAt
}

// reads tells whether this node reads the store, which may not answer it.
func (s *Source) reads() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.informers) > 0
}

// isCurrent tells whether this node reads the store and the store answers it.
func (s *Source) isCurrent() bool {
	if s.health.isTroubled() {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, informer := range s.informers {
		if !informer.current.Load() {
			return false
		}
	}
	return len(s.informers) > 0
}

// readAtLeast has this node read the store for a time.
func (s *Source) readAtLeast(span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if until := time.Now().Add(span); until.After(s.readUntil) {
		s.readUntil = until
	}
	if s.stopFollowing != nil {
		s.stopFollowing()
	}
}

// notify wakes whoever waits for a change.
func (s *Source) notify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Source) changes() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}
