package batch

import (
	"errors"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

// newUnevenPlacement returns a service that knows the usual intervals of four replicas, two of
// them slow, from heartbeats of another node, and the lengths of the model's texts. The job of
// the item has a completion objective.
func newUnevenPlacement() (*Service, *item) {
	service, waiting := newPlacement(4)
	heartbeat := &wire.NodeBeat{Node: "other"}
	for number, interval := range []uint32{83000, 83000, 35000, 35000} {
		heartbeat.Uses = append(heartbeat.Uses, wire.ReplicaUse{Replica: replicaName(number), IntervalUs: interval, UsualIntervalUs: interval})
	}
	service.replicas.LearnSlotUse(heartbeat, time.Now())
	rate := service.eventRates.Of("m")
	for range 300 {
		rate.Observe(100, 20)
	}
	rate.Observe(760, 152)
	waiting.job.completionObjective = 7500 * time.Millisecond
	waiting.job.deadline = time.Now().Add(waiting.job.completionObjective)
	return service, waiting
}

func isSlowReplica(name string) bool { return name == replicaName(0) || name == replicaName(1) }

// Guards against a node that doesn't place items by the speeds in the heartbeats of other nodes,
// and against changing the placement of jobs without an objective.
func TestPickOfCriticalJob(t *testing.T) {
	for _, test := range []struct {
		name          string
		events        int
		withObjective bool
		slow          bool
	}{
		{"short item", 5, true, true},
		{"long item", 150, true, false},
		{"short item without an objective", 5, false, false},
	} {
		service, waiting := newUnevenPlacement()
		waiting.expectedEvents = test.events
		if !test.withObjective {
			waiting.job.deadline, waiting.job.completionObjective = time.Time{}, 0
		}
		if chosen := service.scheduler.newPool().pick(waiting); isSlowReplica(chosen.Name) != test.slow {
			t.Errorf("%s: placed at %s", test.name, chosen.Name)
		}
	}
}

// Guards against scans that apply the rules for other jobs to critical ones, or none.
func TestScanMovesLateRunOfCriticalJob(t *testing.T) {
	service, work := newUnevenPlacement()
	work.expectedEvents = 150
	run := service.addRun(replicaName(0), 10, work)
	var cause *RescheduledError
	run.cancel = func(reason error) { errors.As(reason, &cause) }
	service.scheduler.scanRuns()
	if cause == nil || cause.Reason != placement.ReasonLate {
		t.Errorf("canceled with %v, want %q", cause, placement.ReasonLate)
	}
}

// Guards against listing results while the last item is being scored: it has no run then, and
// the reader would get its result half a second later.
func TestCompletesInWhileScoring(t *testing.T) {
	service, work := newUnevenPlacement()
	work.Item, work.group, work.recordedEvents = &Item{ID: "a", Group: "g", ExpectedTokens: 200}, &group{open: 1}, 40
	work.job.items, work.job.groups = map[string]*item{"a": work}, map[string]*group{"g": work.group}
	completesIn := func() time.Duration {
		return service.completesIn(work.job, service.replicas.Paces(), time.Now())
	}
	if got := completesIn(); got < time.Second {
		t.Errorf("complete in %s although the item waits", got)
	}
	run := service.addRun(replicaName(2), 40, work)
	service.scheduler.runEnded(run, nil)
	if got := completesIn(); got <= 0 || got > time.Millisecond {
		t.Errorf("complete in %s while the item is scored", got)
	}
}

// Guards against an item that is moved at the last moment and returns to a slow replica, from
// which it would move again.
func TestItemMovedAsLateGetsFastReplica(t *testing.T) {
	service, work := newUnevenPlacement()
	work.expectedEvents = 5
	if chosen := service.scheduler.newPool().pick(work); !isSlowReplica(chosen.Name) {
		t.Fatalf("a short item was placed at %s", chosen.Name)
	}
	run := service.addRun(replicaName(0), 3, work)
	service.scheduler.handleRunError(run, service.replicas.GetOrCreate(replicaName(0)), &RescheduledError{Cause: ErrMoved, Reason: placement.ReasonLate})
	if chosen := service.scheduler.newPool().pick(work); isSlowReplica(chosen.Name) {
		t.Errorf("the late item was placed at %s", chosen.Name)
	}
}

// Guards against an item that is moved without end: what bounds its moves has to be known to the
// next scan, and the first event of a run ends the series of those that did not begin.
func TestScanKnowsEarlierMoves(t *testing.T) {
	service, work := newUnevenPlacement()
	run := service.addRun(replicaName(0), 0, work)
	for _, reason := range []placement.Reason{placement.ReasonNotBegun, placement.ReasonNotBegun, placement.ReasonSwapped} {
		service.scheduler.handleRunError(run, service.replicas.GetOrCreate(replicaName(0)), &RescheduledError{Cause: ErrMoved, Reason: reason})
	}
	if view := service.scheduler.newPool().runOf(0, run); view.NotBegun != 2 || !view.Swapped {
		t.Errorf("%d runs not begun, swapped %t", view.NotBegun, view.Swapped)
	}
	service.scheduler.receiveEvent(run, "event", 3)
	if view := service.scheduler.newPool().runOf(0, run); view.NotBegun != 0 || !view.Swapped {
		t.Errorf("after an event: %d runs not begun, swapped %t", view.NotBegun, view.Swapped)
	}
}

// Guards against an item that counts less while it is being placed than once it runs: the
// replica would get further long texts in the same round.
func TestPlacedItemCountsWholeText(t *testing.T) {
	service, work := newUnevenPlacement()
	work.expectedEvents, work.recordedEvents = 150, 140
	pool := service.scheduler.newPool()
	chosen := pool.pick(work)
	chosen.Add(pool.workOf(work))
	if chosen.ExpectedEvents != 150 {
		t.Errorf("counts %d events, want 150", chosen.ExpectedEvents)
	}
}

// Guards against items that wait while a slot is free because another item of their job has
// failed at the only replica with a free slot.
func TestFailedItemDoesNotHoldBackOthers(t *testing.T) {
	service, failed := newUnevenPlacement()
	for number := range 3 {
		service.replicas.GetOrCreate(replicaName(number)).Running = 6
	}
	failed.failedReplicas = []string{replicaName(3)}
	other := &item{job: failed.job}
	pool := service.scheduler.newPool()
	if pool.pick(failed) != nil {
		t.Fatal("the item was placed where it has failed")
	}
	if pool.isFullFor(failed) {
		t.Error("the other items of the job are not tried")
	}
	if chosen := pool.pick(other); chosen == nil || chosen.Name != replicaName(3) {
		t.Errorf("another item was placed at %v", chosen)
	}
	service.replicas.GetOrCreate(replicaName(3)).Running = 6
	if pool := service.scheduler.newPool(); pool.pick(other) != nil || !pool.isFullFor(other) {
		t.Error("further items are tried although all replicas are full")
	}
}
