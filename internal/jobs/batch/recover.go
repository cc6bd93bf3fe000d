package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// joinPollInterval is the time between checks whether this node has joined.
	// joinTimeout bounds the wait: a node whose entry is not stored can still read the
	// jobs through its peers.
	joinPollInterval = 20 * time.Millisecond
	joinTimeout      = 1500 * time.Millisecond
	// listingInterval is the time between the pages of the listing after the first one. Many nodes may
	// start at once, and the store answers a limited number of reads a second.
	listingInterval = 10 * time.Millisecond
)

// recover records the open jobs in the store when this node starts, so that those of
// silent owners are taken over. It has one page of the listing in memory at a time, and reads a
// page that failed again. The first page is enough for the node to be recovered: nearly all other
// jobs have ended, and those that were changed last are looked up after the first page.
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
	s.readListing(ctx, freshness)
}

// readListing reads the listing of all jobs and records those that are open.
func (s *Service) readListing(ctx context.Context, freshness objectstore.Freshness) {
	progress := recoveryProgress{began: time.Now()}
	for after := ""; ctx.Err() == nil; {
		page, err := s.config.JobStore.ReadOpen(ctx, after, freshness)
		if err != nil {
			objectstore.SleepWithJitter(ctx, readRetryDelay)
			continue
		}
		s.recordOpen(page.OpenJobs)
		progress.add(page.OpenJobs)
		if page.Next == "" {
			s.config.Logger.Info("batch jobs read", progress.logFields()...)
			return
		}
		if after == "" && s.readRecent(ctx, page.Revision) {
			// What a stale page lacks is among the recent changes.
			freshness = objectstore.MayBeStale
		}
		after = page.Next
		objectstore.Sleep(ctx, listingInterval)
	}
}

// readRecent records the open jobs that were changed last before a revision, and reports whether the
// store still knew these changes.
func (s *Service) readRecent(ctx context.Context, revision uint64) bool {
	recent, err := s.config.JobStore.ReadRecent(ctx, revision)
	if err != nil {
		s.config.Logger.Info("recent batch jobs not read", "error", err.Error())
		return false
	}
	s.recordOpen(recent)
	s.config.Logger.Info("recent batch jobs read", "open", len(recent.Jobs), "ended", recent.Ended)
	return true
}

// recordOpen records open jobs of the store, and counts and logs records that can't be decoded.
func (s *Service) recordOpen(open jobstore.OpenJobs) {
	for _, name := range open.Invalid {
		s.metrics.invalidRecords.Inc()
		s.config.Logger.Info("invalid record of a batch job skipped", "request", name)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, stored := range open.Jobs {
		if s.jobs[stored.ID] == nil {
			s.learnStored(stored)
		}
	}
	s.recovered = true
}

// recoveryProgress counts what a starting node has read.
type recoveryProgress struct {
	began                       time.Time
	pages, open, ended, invalid int
}

func (p *recoveryProgress) add(page jobstore.OpenJobs) {
	p.pages++
	p.open += len(page.Jobs)
	p.ended += page.Ended
	p.invalid += len(page.Invalid)
}

// logFields returns the log fields of a listing that was read to its end.
func (p *recoveryProgress) logFields() []any {
	return []any{"pages", p.pages, "open", p.open, "ended", p.ended, "invalid", p.invalid, "tookMs", time.Since(p.began).Milliseconds()}
}

// Recovered reports whether the node has read the first page of the jobs in the store.
func (s *Service) Recovered() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.recovered
}
