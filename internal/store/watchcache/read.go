package watchcache

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// directReadTime is how long a node that lost its parent reads the store itself.
	// directReadJitter bounds the random time added to it, so that nodes don't stop all at
	// once.
	directReadTime   = 4 * time.Second
	directReadJitter = 2 * time.Second
	// modeCheckInterval is the time between checks whether to stop reading.
	modeCheckInterval = 250 * time.Millisecond
)

// read reads the store until there is a node to follow or the context ends.
func (s *Source) read(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	s.config.Logger.Info("reading the store directly")
	s.metrics.reading.Set(1)
	informers := s.newInformers()
	s.reading.start(informers)
	for _, informer := range informers {
		tasks.Go(func() { informer.Run(ctx) })
	}
	tasks.Go(func() { s.health.monitor(ctx, s.probe) })
	tasks.Go(func() { s.followHelpers(ctx) })
	for objectstore.Sleep(ctx, modeCheckInterval) {
		if s.isCurrent() {
			s.freshness.markCurrent()
		}
		if s.position().follows {
			break
		}
	}
	cancel()
	s.pollHistory.suspectSince = time.Time{}
	s.reading.stop()
	s.metrics.reading.Set(0)
	tasks.Wait()
}

// newInformers returns an informer for each kind.
func (s *Source) newInformers() []*Informer {
	informers := make([]*Informer, 0, len(s.caches))
	for _, cache := range s.caches {
		informer := newInformer(s.config.Store, cache, s.health, s.config.Logger)
		informer.resumeFirst = cache.isLarge()
		informers = append(informers, informer)
	}
	return informers
}

// isCurrent reports whether this node reads the store and the store is available to it.
func (s *Source) isCurrent() bool {
	return !s.health.isUnavailable() && s.reading.isCurrent()
}

// readDirectly makes this node read the store itself for directReadTime plus jitter.
func (s *Source) readDirectly() {
	s.reading.require(directReadTime + rand.N(directReadJitter))
}
