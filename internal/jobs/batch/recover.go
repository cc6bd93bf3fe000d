package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinPollInterval is the time between checks whether this node has joined, and
	// joinTimeout bounds the wait: a node whose entry the store does not take reads the
	// jobs through its peers all the same.
	joinPollInterval = 20 * time.Millisecond
	joinTimeout      = 1500 * time.Millisecond
)

// recover learns at the start which jobs there are. Those whose owners stay
// silent are taken over like any others. A node that is new to the deployment
// owns none, and the newest ones of others have their watchers: it takes a
// listing that may be some seconds old, for a tenth of the price.
func (s *Service) recover(ctx context.Context) {
	for began := time.Now(); !s.config.Table.Joined() && time.Since(began) < joinTimeout; {
		if !objectstore.Sleep(ctx, joinPollInterval) {
			return
		}
	}
	freshness := objectstore.Linearizable
	if s.config.Table.IsNew() {
		freshness = objectstore.MayBeStale
	}
	for ctx.Err() == nil {
		all, err := s.config.JobStore.ReadAll(ctx, freshness)
		if err == nil {
			s.mutex.Lock()
			for _, stored := range all {
				if s.jobs[stored.ID] == nil && !stored.Ended {
					s.learnStored(stored)
				}
			}
			s.recovered = true
			s.mutex.Unlock()
			return
		}
		objectstore.SleepWithJitter(ctx, readRetryPause)
	}
}

// Recovered tells whether the jobs of the store are known.
func (s *Service) Recovered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}
