package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

// newCompeting returns a service with three replicas at which a text of 152 events takes
// nearly the whole objective of 7.5 s.
func newCompeting() *Service {
	service, waiting := newPacedPlacement(45, 45, 83)
	service.announceUsual(45, 45, 83)
	rate := service.eventRates.Of(waiting.job.submission.Model)
	for range 20 {
		rate.Observe(20, 20)
	}
	rate.Observe(152, 152)
	return service
}

// announceUsual receives usual intervals of the replicas, in milliseconds, from another node.
func (s *Service) announceUsual(intervals ...uint32) {
	heartbeat := &wire.NodeBeat{Node: "usual"}
	for number, interval := range intervals {
		heartbeat.Uses = append(heartbeat.Uses, wire.ReplicaUse{Replica: replicaName(number), UsualIntervalUs: 1000 * interval})
	}
	s.replicas.LearnSlotUse(heartbeat, time.Now())
}

// addJob adds a job with items of a number of expected tokens to the queue.
func (s *Service) addJob(id string, step int, left time.Duration, tokens ...float64) *job {
	now := time.Now()
	added := &job{
		id: id, record: jobstore.Record{Route: "drafts"}, submission: &Submission{Model: "m", Step: step}, startedAt: now, ctx: s.base,
		deadline: now.Add(left), completionObjective: 7500 * time.Millisecond, items: map[string]*item{}, groups: map[string]*group{},
	}
	for number, expected := range tokens {
		itemID := fmt.Sprint(id, number)
		itemGroup := &group{open: 1}
		added.groups[itemID] = itemGroup
		added.items[itemID] = &item{
			Item: &Item{ID: itemID, ExpectedTokens: expected}, job: added, group: itemGroup, rank: placement.Rank{Position: number}, queuedAt: now,
		}
		added.order = append(added.order, itemID)
		s.scheduler.queue = append(s.scheduler.queue, added.items[itemID])
	}
	s.jobs[id] = added
	return added
}

// queueOrder returns the ids of the queued items.
func (s *Service) queueOrder() string {
	order := ""
	for _, queued := range s.scheduler.queue {
		order += queued.ID + " "
	}
	return order
}

// Guards against steps that are late because the queue isn't sorted by what they need, and
// against a changed order of jobs that don't compete.
func TestSortQueueOfCompetingJobs(t *testing.T) {
	for _, test := range []struct {
		name     string
		critical bool
		want     string
	}{
		// b can't be in time, and the text of c is at risk.
		{"competing", true, "c0 a0 a1 b0 b1 "},
		{"not competing", false, "a0 b0 c0 a1 b1 "},
	} {
		service := newCompeting()
		if !test.critical {
			service.announceUsual(20, 20, 20)
			for number := range 3 {
				service.replicas.GetOrCreate(replicaName(number)).Pace = placement.NewPace(20 * time.Millisecond)
			}
		}
		service.addJob("a", 1, 7*time.Second, 20, 20)
		service.addJob("b", 1, -time.Second, 100, 100).groups["b1"].inherited = true
		service.addJob("c", 1, 1500*time.Millisecond, 20)
		service.scheduler.sortQueue()
		if got := service.queueOrder(); got != test.want {
			t.Errorf("%s: order %s, want %s", test.name, got, test.want)
		}
		if service.jobs["b"].yieldLogged != test.critical {
			t.Errorf("%s: the log says that b yields: %v", test.name, service.jobs["b"].yieldLogged)
		}
	}
}

// Guards against items that wait for longer than the bound without a log line, and against a
// line for each of them.
func TestPassedOverItemsRunNext(t *testing.T) {
	service := newCompeting()
	service.addJob("a", 1, 7*time.Second, 20)
	old := service.addJob("b", 1, -time.Second, 150, 150)
	queuedAt := time.Now().Add(-9 * time.Second)
	for _, waiting := range old.items {
		waiting.queuedAt = queuedAt
	}
	service.scheduler.updateOrder()
	if got := service.queueOrder(); got[:5] != "b0 b1" || !old.passedOverLogged || !old.items["b1"].passedOver {
		t.Errorf("order %s, logged %v", got, old.passedOverLogged)
	}
	old.items["b1"].queuedAt = queuedAt.Add(-time.Nanosecond)
	service.scheduler.sortQueue()
	if got := service.queueOrder(); got[:5] != "b1 b0" {
		t.Errorf("order %s, want the item that waits longer first", got)
	}
}

// Guards against other owners that don't know what this owner's jobs need, and against a
// trainer that other owners take for one that is not behind.
func TestHeartbeatDescribesSteps(t *testing.T) {
	service, start := newCompeting(), time.Now()
	for step, due := range []time.Duration{-8 * time.Second, -4 * time.Second, 5 * time.Second} {
		service.trainers.Observe("m", int64(step), start.Add(due), start)
	}
	service.addJob("a", 2, 5*time.Second, 20, 20)
	service.addJob("b", 7, time.Second).deadline = time.Time{}
	heartbeat := &wire.NodeBeat{}
	service.FillHeartbeat(heartbeat)
	if len(heartbeat.Work) != 1 {
		t.Fatalf("jobs %v in the heartbeat", heartbeat.Work)
	}
	work := heartbeat.Work[0]
	if work.Step != 2 || work.Waiting != 2 || work.LeftMs < 4000 || work.LeftMs > 5000 || work.LagMs < 4900 || work.LagMs > 6500 {
		t.Errorf("step %d, %d waiting, %d ms left, lag of %d ms", work.Step, work.Waiting, work.LeftMs, work.LagMs)
	}
	other := newCompeting()
	other.ReceiveHeartbeat(&wire.NodeBeat{Node: "n", Jobs: heartbeat.Jobs, Work: heartbeat.Work})
	if open := other.openJobs.Current(time.Now()); len(open) != 1 || open[0].TimeLeft > 5*time.Second || open[0].TimeLeft < 4*time.Second {
		t.Errorf("the receiver knows %+v", open)
	}
}

// Guards against slots that stay free after the other owner has not taken them, and against
// owners that leave none to a step that needs them more.
func TestLeavesFreeSlotsForAWhile(t *testing.T) {
	service := newCompeting()
	added := service.addJob("a", 1, 7*time.Second, 20)
	service.openJobs.Learn("n", []wire.JobWork{{Job: "x", Model: "m", LeftMs: 2000, Waiting: 30, Open: 30}}, time.Now())
	service.scheduler.sortQueue()
	leaves := func() bool {
		pool := service.scheduler.newPool()
		return service.scheduler.newSlotLeaver(pool).leaves(added.items["a0"], pool.pick(added.items["a0"]))
	}
	if !leaves() {
		t.Fatal("no slot is left to an owner whose step is due earlier")
	}
	for replica, since := range service.scheduler.slotsLeft {
		service.scheduler.slotsLeft[replica] = since.Add(-placement.MaxSlotLeave)
	}
	if leaves() {
		t.Error("a slot is left for longer than the bound")
	}
	clear(service.scheduler.slotsLeft)
	service.openJobs.Learn("n", []wire.JobWork{{Job: "x", Model: "of no replica", LeftMs: 2000, Waiting: 30}}, time.Now())
	if leaves() {
		t.Error("a slot is left to a model that the replica doesn't have")
	}
}

// Guards against runs of a step that can't be in time that keep slots which another step
// needs, and against runs that are interrupted again and again.
func TestYieldRuns(t *testing.T) {
	service := newCompeting()
	late := service.addJob("b", 1, -time.Second, 150, 150, 150)
	pool := service.scheduler.newPool()
	var canceled int
	for number, id := range late.order {
		held := late.items[id]
		pool.replicasFor(held)
		held.currentRun = &itemRun{item: held, endpoint: pool.endpoints[replicaName(number)], cancel: func(error) { canceled++ }, startedAt: time.Now()}
		service.scheduler.runs[held.currentRun] = true
		service.replicas.GetOrCreate(replicaName(number)).Running = 6
	}
	service.scheduler.queue = nil
	service.scheduler.yieldRuns()
	if canceled != 0 {
		t.Errorf("%d runs yield though nothing waits", canceled)
	}
	service.addJob("a", 1, 1500*time.Millisecond, 20, 20)
	service.scheduler.yieldRuns()
	if canceled != 2 {
		t.Errorf("%d runs yield to two items at risk", canceled)
	}
	service.scheduler.yieldRuns()
	service.scheduler.yieldRuns()
	if canceled != 3 {
		t.Errorf("%d runs of three items yield after further scans", canceled)
	}
}
