package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// recoverLook is the time between looks at whether this node has joined, and
	// joinPatience for how long it is waited for: a node whose entry the store
	// does not take reads the jobs through its peers all the same. A new node
	// needs 0.4 s and two calls to the store.
	recoverLook  = 20 * time.Millisecond
	joinPatience = 1500 * time.Millisecond
)

// recover learns at the start which jobs there are. Those whose owners stay
// silent are taken over like any others. A node that is new to the deployment
// owns none, and the newest ones of others have their watchers: it takes a
// listing that may be some seconds old, for a tenth of the price.
func (s *Service) recover(ctx context.Context) {
	for began := time.Now(); !s.config.Table.Joined() && time.Since(began) < joinPatience; {
		if !objectstore.Sleep(ctx, recoverLook) {
			return
		}
	}
	freshness := objectstore.Linearizable
	if s.config.Table.IsNew() {
		freshness = objectstore.MayBeStale
	}
	for ctx.Err() == nil {
		all, err := s.config.Journal.ReadAll(ctx, freshness)
		if err == nil {
			s.mutex.Lock()
			for _, standing := range all {
				if s.jobs[standing.ID] == nil && !standing.Ended {
					s.noteStanding(standing)
				}
			}
			s.recovered = true
			s.mutex.Unlock()
			return
		}
		objectstore.Pause(ctx, readPause)
	}
}

// Recovered tells whether the jobs of the store are known.
func (s *Service) Recovered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}
