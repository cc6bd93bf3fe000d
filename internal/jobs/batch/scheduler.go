package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/jobs/statistics"
)

const (
	// scanInterval is the time between scans of the runs for stalls and moves.
	scanInterval = 100 * time.Millisecond
	// idleScanInterval is the time between rounds while there is no work.
	idleScanInterval = 2 * time.Second
)

// scheduler owns the queue of items and their runs: it starts runs at replicas, handles
// their ends, cancels stalled ones, and moves those that would end sooner elsewhere.
//
// It shares the service's mutex, since an item's place in the queue, its run, the load of
// its replica and the state of its job change together.
type scheduler struct {
	config  *Config
	metrics *metrics
	mutex   *sync.Mutex
	// queue are the items that wait for a replica, in processing order.
	queue []*item
	runs  map[*itemRun]bool
	// replicas and eventRates are shared with the service.
	replicas   *replicastate.Table
	eventRates statistics.EventRates
	// candidates caches the candidate replicas, by service.
	candidates map[string]*candidateSet
	scorer     *scorer
	// trainers and openJobs are shared with the service. runsElsewhere reports whether another
	// node runs a job that it announced, as far as this node knows.
	trainers      *statistics.Trainers
	openJobs      *statistics.OpenJobs
	runsElsewhere func(job string) bool
	// orderedAt is when the order of the queue was last computed.
	orderedAt time.Time
	// slotsLeft is when this node began to leave free slots to other owners, by replica.
	slotsLeft map[string]time.Time
	// wake starts a round.
	wake signal
}

func newScheduler(service *Service) *scheduler {
	return &scheduler{
		config: &service.config, metrics: service.metrics, mutex: &service.mutex,
		runs: map[*itemRun]bool{}, replicas: service.replicas, eventRates: service.eventRates, candidates: map[string]*candidateSet{},
		scorer: newScorer(service), wake: newSignal(),
		trainers: service.trainers, openJobs: service.openJobs, slotsLeft: map[string]time.Time{},
		runsElsewhere: func(id string) bool { return service.jobs[id] == nil && !service.ends.Has(id) },
	}
}

// schedule starts and scans runs until the context ends.
func (s *scheduler) schedule(ctx context.Context) {
	timer := time.NewTimer(idleScanInterval)
	defer timer.Stop()
	scans := scanSchedule{last: time.Now()}
	for {
		changed := s.config.Directory.Changed()
		busy := s.assign()
		wait := idleScanInterval
		if busy {
			wait = scanInterval
		}
		// Wakes come more often than scans are due if many nodes run jobs, so the timer
		// counts from the last scan and not from the last wake.
		timer.Reset(max(0, wait-time.Since(scans.last)))
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-changed:
		case <-timer.C:
		}
		if scans.isDue(time.Now()) {
			s.scanRuns()
			s.yieldRuns()
			s.reportWaits(time.Now())
		}
	}
}

// assign starts queued items that a replica has room for, and reports whether there is
// work.
func (s *scheduler) assign() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.queue) == 0 {
		return len(s.runs) > 0
	}
	s.updateOrder()
	pool := s.newPool()
	leaver := s.newSlotLeaver(pool)
	full := map[*job]waitReason{}
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool {
		if waiting.done || waiting.job.ended || waiting.job.superseded {
			return true
		}
		if time.Now().Before(waiting.retryAt) {
			return false
		}
		if reason, isFull := full[waiting.job]; isFull {
			waiting.waitReason = reason
			return false
		}
		if s.expire(waiting) {
			return true
		}
		chosen := pool.pick(waiting)
		if chosen == nil {
			waiting.waitReason = pool.waitReasonFor(waiting)
			if pool.isFullFor(waiting) {
				full[waiting.job] = waiting.waitReason
			}
			return false
		}
		if leaver.leaves(waiting, chosen) {
			waiting.waitReason = waitSlotLeft
			return false
		}
		chosen.Add(pool.workOf(waiting))
		s.startRun(waiting, pool.endpoints[chosen.Name])
		return true
	})
	return len(s.queue) > 0 || len(s.runs) > 0
}

// expire abandons an item if its job's retention has passed. The mutex must be held.
func (s *scheduler) expire(waiting *item) bool {
	if waiting.job.abandonAfter.IsZero() || time.Now().Before(waiting.job.abandonAfter) {
		return false
	}
	s.config.Logger.Info("item abandoned", "request", waiting.ID, "job", waiting.job.id, "reason", "retention exceeded", "breaks", waiting.brokenRuns)
	s.finish(waiting, jobstore.Result{ID: waiting.ID, State: jobstore.Abandoned})
	return true
}

// scanRuns cancels stalled runs and those at replicas that are gone, and moves runs away
// from slow replicas.
func (s *scheduler) scanRuns() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.runs) == 0 {
		return
	}
	pool := s.newPool()
	pool.itemsRunning = true
	runs := make([]*placement.Run, 0, len(s.runs))
	var critical []*placement.Run
	itemRuns := make([]*itemRun, 0, len(s.runs))
	for running := range s.runs {
		run := pool.runOf(len(itemRuns), running)
		itemRuns = append(itemRuns, running)
		switch {
		case pool.view.Replicas[running.endpoint.Name] == nil && !placement.HasRecentEvent(run):
			running.abort(&RescheduledError{Cause: ErrMoved, Reason: placement.ReasonGone})
		case placement.Stalled(pool.paces, run):
			state := s.replicas.GetOrCreate(running.endpoint.Name)
			state.BlockedUntil, state.Unresponsive = time.Now().Add(stallBlock), true
			running.abort(&RescheduledError{Cause: ErrStalled, Reason: placement.ReasonStalled})
		case run.Critical:
			critical = append(critical, run)
		default:
			runs = append(runs, run)
		}
	}
	move(itemRuns, placement.Moves(pool.paces, runs))
	move(itemRuns, placement.MovesByCompletion(pool.paces, critical))
}

// move cancels the runs that are to continue at other replicas.
func move(runs []*itemRun, moves []placement.Move) {
	for _, next := range moves {
		runs[next.Run.Index].abort(&RescheduledError{Cause: ErrMoved, Reason: next.Reason})
	}
}

// runOf returns the view of a run for placement decisions. index is its position among
// the scanned runs.
func (p *pool) runOf(index int, running *itemRun) *placement.Run {
	work := running.item
	return &placement.Run{
		Index: index, Replica: running.endpoint.Name, Replicas: p.replicasFor(work), FailedReplicas: work.failedReplicas,
		Events: int(running.events.Load()), RemainingEvents: p.scheduler.remainingEvents(work), Idle: running.idle(),
		Work: p.workOf(work), Critical: p.isCritical(work.job), Reserve: work.rank.Reserve, HasDeadline: !work.job.deadline.IsZero(), TimeLeft: work.job.deadline.Sub(p.now),
		NotBegun: work.notBegun, Swapped: work.swapped,
		Loading: p.scheduler.replicas.GetOrCreate(running.endpoint.Name).IsLoading(work.job.submission.Model),
	}
}

// stallBlock is how long a replica gets no items after a run stalled there.
const stallBlock = 700 * time.Millisecond
