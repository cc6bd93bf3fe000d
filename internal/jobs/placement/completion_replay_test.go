package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	replayTick      = 10 * time.Millisecond
	replayScanTicks = 10
)

// replayedItem is an item of a replayed step.
type replayedItem struct {
	length, hint, generated int
	due                     time.Duration
	// replica is the index of the replica that runs the item, -1 while it waits.
	replica   int
	startedAt time.Duration
	lastEvent time.Duration
	// runEvents is the number of events of the current run.
	runEvents int
	// moveReason is why the last run was canceled.
	moveReason Reason
	// swapped is set once the item gave up its slot to a longer one.
	swapped bool
}

func (i *replayedItem) work(now time.Duration) Work {
	return NewWork(i.hint, i.generated, longestText, i.due-now)
}

// replayedReplica is a replica with its actual interval and the estimators of its node.
type replayedReplica struct {
	interval       time.Duration
	observed       observedReplica
	running        []*replayedItem
	disturbedUntil time.Duration
	disturbedNext  time.Duration
}

// stepReplay runs steps on 45 replicas. It has no queues at replicas, and only one node.
type stepReplay struct {
	random   *rand.Rand
	now      time.Duration
	replicas []*replayedReplica
	waiting  []*replayedItem
	open     []*replayedItem
	// items, moves and late count items, moves, and items that end after their deadline.
	items, moves, late int
}

func newStepReplay(seed uint64, fastMs, slowMs int) *stepReplay {
	r := &stepReplay{random: rand.New(rand.NewPCG(seed, 1))}
	for number := range 45 {
		interval := fastMs
		if number >= 30 {
			interval = slowMs
		}
		r.replicas = append(r.replicas, &replayedReplica{interval: time.Duration(interval) * time.Millisecond, disturbedNext: r.untilDisturbed()})
	}
	return r
}

// untilDisturbed draws the time between two disturbances, which take 15% of the time.
func (r *stepReplay) untilDisturbed() time.Duration {
	return time.Duration(r.random.Int64N(int64(6800 * time.Millisecond)))
}

// submit adds a step, the items with the longest hints first.
func (r *stepReplay) submit(items int) {
	for range items {
		length, hint := generateText(r.random)
		added := &replayedItem{length: length, hint: hint, due: r.now + stepObjective, replica: -1}
		r.waiting, r.open = append(r.waiting, added), append(r.open, added)
	}
	r.items += items
	slices.SortStableFunc(r.waiting, func(a, b *replayedItem) int { return b.hint - a.hint })
}

// tick generates the events of one tick, places waiting items and scans runs.
func (r *stepReplay) tick() {
	r.now += replayTick
	for _, replica := range r.replicas {
		r.generate(replica)
	}
	r.open = slices.DeleteFunc(r.open, func(item *replayedItem) bool { return item.generated >= item.length })
	paces, views := r.views()
	r.waiting = slices.DeleteFunc(r.waiting, func(item *replayedItem) bool {
		picked := PickByCompletion(paces, views, item.work(r.now), Preference{Fastest: item.moveReason == ReasonLate})
		if picked == nil {
			return false
		}
		picked.Add(item.work(r.now))
		item.replica = slices.Index(views, picked)
		item.startedAt, item.lastEvent, item.runEvents = r.now, r.now+moveCost/2, 0
		r.replicas[item.replica].running = append(r.replicas[item.replica].running, item)
		return true
	})
	if int(r.now/replayTick)%replayScanTicks == 0 {
		r.scan(paces, views)
	}
}

// generate generates the events of a replica up to now.
func (r *stepReplay) generate(replica *replayedReplica) {
	if r.now >= replica.disturbedNext {
		replica.disturbedUntil = r.now + 600*time.Millisecond
		replica.disturbedNext = replica.disturbedUntil + r.untilDisturbed()
	}
	interval := replica.interval
	if r.now < replica.disturbedUntil {
		interval = interval * 5 / 2
	}
	count := len(replica.running)
	replica.running = slices.DeleteFunc(replica.running, func(item *replayedItem) bool {
		for item.lastEvent+interval <= r.now && item.generated < item.length {
			item.lastEvent += interval
			item.generated++
			if item.runEvents++; item.runEvents > 1 {
				replica.observed.pace.Observe(interval, count)
				replica.observed.usual.Observe(interval, count, replica.observed.pace.Interval())
			}
		}
		if item.generated >= item.length && item.lastEvent > item.due {
			r.late++
		}
		return item.generated >= item.length
	})
}

// views returns the paces and the views of the replicas.
func (r *stepReplay) views() (Paces, []*Replica) {
	usual, disturbed := map[string]time.Duration{}, map[string]bool{}
	for number, replica := range r.replicas {
		if interval := replica.observed.usual.Interval(true); interval > 0 {
			usual[fmt.Sprint(number)] = interval
		}
		disturbed[fmt.Sprint(number)] = replica.observed.usual.IsSlowed()
	}
	paces := NewPaces(usual).WithUsual(usual, disturbed)
	var views []*Replica
	for number, replica := range r.replicas {
		view := NewReplica(fmt.Sprint(number), 8, len(replica.running), paces, ReplicaHealth{SinceEvent: time.Minute})
		for _, item := range replica.running {
			view.ExpectedEvents += max(item.hint, item.generated)
		}
		views = append(views, view)
	}
	return paces, views
}

// runs returns the views of all runs; Index is the position in open.
func (r *stepReplay) runs(views []*Replica) []*Run {
	var runs []*Run
	for index, item := range r.open {
		if item.replica >= 0 {
			runs = append(runs, &Run{Index: index, Replica: views[item.replica].Name, Replicas: views, Events: item.runEvents, Work: item.work(r.now), Idle: r.now - item.lastEvent, Swapped: item.swapped})
		}
	}
	return runs
}

// scan moves runs.
func (r *stepReplay) scan(paces Paces, views []*Replica) {
	for _, move := range MovesByCompletion(paces, r.runs(views)) {
		item := r.open[move.Run.Index]
		replica := r.replicas[item.replica]
		replica.running = slices.DeleteFunc(replica.running, func(other *replayedItem) bool { return other == item })
		item.replica, item.moveReason, item.swapped = -1, move.Reason, item.swapped || move.Reason == ReasonSwapped
		r.waiting = append(r.waiting, item)
		r.moves++
	}
	slices.SortStableFunc(r.waiting, func(a, b *replayedItem) int { return b.hint - a.hint })
}

// Guards against items that wait while a slot is free, and against the moves of the earlier code,
// which moved a third of all items, most of them because of disturbances of 600 ms.
func TestReplayedStepsMoveFewRuns(t *testing.T) {
	const (
		stepItems = 200
		// maxMovedShare is well below a third. The replays move 3% to 6% of the items.
		maxMovedShare = 0.1
	)
	for _, deployment := range []struct{ fastMs, slowMs int }{{35, 83}, {49, 62}} {
		for seed := range uint64(3) {
			r := newStepReplay(seed, deployment.fastMs, deployment.slowMs)
			// Each of four trainers submits a step every 4 s.
			for range 20 {
				r.submit(stepItems)
				for range int(time.Second / replayTick) {
					r.tick()
					r.checkWaiting(t)
				}
			}
			if float64(r.moves) > maxMovedShare*float64(r.items) {
				t.Errorf("%d and %d ms: %d moves of %d items", deployment.fastMs, deployment.slowMs, r.moves, r.items)
			}
			t.Logf("%d and %d ms, seed %d: %d items, %d moves, %d late", deployment.fastMs, deployment.slowMs, seed, r.items, r.moves, r.late)
		}
	}
}

// checkWaiting checks that no item has waited for a tick while a slot is free. Runs that the scan
// of this tick moved wait until the next one.
func (r *stepReplay) checkWaiting(t *testing.T) {
	t.Helper()
	if len(r.waiting) == 0 || int(r.now/replayTick)%replayScanTicks == 0 {
		return
	}
	if _, views := r.views(); slices.ContainsFunc(views, (*Replica).hasCapacity) {
		t.Fatalf("%d items wait while a slot is free", len(r.waiting))
	}
}

// Guards against long texts that stay late at slow replicas: the runs are placed as if speeds had
// been unknown, and use all fast slots. After some scans, no run that would be late is left at a
// slow replica while a fast one has a free slot, or runs an item that may go to a slower one with
// a free slot.
func TestMovesByCompletionConverge(t *testing.T) {
	const scans = 8
	random := rand.New(rand.NewPCG(23, 24))
	moved := map[Reason]int{}
	for round := range 50 {
		paces, views := unevenReplicas(random, 30, 15, 35, 83, 8)
		runs := append(randomRuns(random, views, 0, 30, 240), randomRuns(random, views, 30, 45, 30+random.IntN(80))...)
		for range scans {
			moves := MovesByCompletion(paces, runs)
			for _, move := range moves {
				moved[move.Reason]++
				move.Run.Replica, move.Run.Swapped = "", move.Run.Swapped || move.Reason == ReasonSwapped
			}
			countLoads(views, runs)
			for _, move := range moves {
				target := PickByCompletion(paces, views, move.Run.Work, Preference{Fastest: move.Reason == ReasonLate})
				move.Run.Replica = target.Name
				target.Add(move.Run.Work)
			}
		}
		if long, other := misplaced(paces, views, runs); long != nil {
			t.Errorf("round %d: %+v is late at %s although %s could run it", round, long.Work, long.Replica, other)
		}
	}
	if moved[ReasonLate] < 50 || moved[ReasonSwapped] < 50 {
		t.Errorf("only few moves: %v", moved)
	}
}

// randomRuns returns runs at random replicas from first up to last that have a free slot.
func randomRuns(random *rand.Rand, views []*Replica, first, last, count int) []*Run {
	var runs []*Run
	for len(runs) < count {
		at := views[first+random.IntN(last-first)]
		if !at.hasCapacity() {
			continue
		}
		length, hint := generateText(random)
		work := NewWork(hint, random.IntN(length), longestText, 2*time.Second+time.Duration(random.Int64N(int64(stepObjective-2*time.Second))))
		at.Add(work)
		runs = append(runs, &Run{Replica: at.Name, Replicas: views, Events: 5, Work: work})
	}
	return runs
}

// countLoads sets the loads of the replicas to those of the runs.
func countLoads(views []*Replica, runs []*Run) {
	for _, view := range views {
		view.Load, view.ExpectedEvents = 0, 0
		for _, run := range runs {
			if run.Replica == view.Name {
				view.Add(run.Work)
			}
		}
	}
}

// misplaced returns a run that is late at a slow replica, and the fast replica at which it would
// end more than minSwapGain sooner and that has a free slot or a run for a slower replica.
func misplaced(paces Paces, views []*Replica, runs []*Run) (*Run, string) {
	freeSlow := slices.ContainsFunc(views, func(view *Replica) bool { return !isFast(view.Name) && view.hasCapacity() })
	for _, long := range runs {
		current := paces.UsualAt(long.Replica)
		saved := time.Duration(long.Work.Remaining) * (current - paces.fastQuarter)
		if isFast(long.Replica) || long.Work.runTime(current) <= long.Work.TimeLeft || saved-moveCost <= minSwapGain {
			continue
		}
		for _, view := range views {
			if isFast(view.Name) && view.hasCapacity() {
				return long, view.Name
			}
		}
		for _, other := range runs {
			if isFast(other.Replica) && freeSlow && paces.mayUse(other.Work, paces.slowQuarter) {
				return long, other.Replica
			}
		}
	}
	return nil, ""
}
