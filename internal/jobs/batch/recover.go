package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinPollInterval is the time between checks whether this node has joined.
	// joinTimeout bounds the wait: a node whose entry is not stored can still read the
	// jobs through its peers.
	joinPollInterval = 20 * time.Millisecond
	joinTimeout      = 1500 * time.Millisecond
)

// recover records the open jobs in the store when this node starts, so that those of
// silent owners are taken over.
//
// A node that is new to the deployment owns no jobs, and the newest jobs of others have
// watchers already. It may read a listing that is some seconds old, which is far cheaper.
func (s *Service) recover(ctx context.Context) {
	for began := time.Now(); !s.config.PeerTable.Joined() && time.Since(began) < joinTimeout; {
		if !objectstore.Sleep(ctx, joinPollInterval) {
			return
		}
	}
	freshness := objectstore.Linearizable
	if s.config.PeerTable.IsNew() {
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
		objectstore.SleepWithJitter(ctx, readRetryDelay)
	}
}

// Recovered reports whether the jobs in the store are known.
func (s *Service) Recovered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}
