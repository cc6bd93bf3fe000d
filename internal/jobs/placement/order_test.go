package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// replayTrainer requests a step every 4 s, but step k not before step k-2 is trained, as in
// deployment A of docs/design/load-decisions.md.
type replayTrainer struct {
	tenant   string
	priority int
	groups   int
	// objective is the completion objective of its steps, and lag its lag at the start.
	objective, lag time.Duration
	steps          []*replayStep
	// late is the number of steps that were late, and used the slot time of all.
	late int
	used time.Duration
}

// replayStep is a step with four items a group, of which a trainer waits for 90%.
type replayStep struct {
	at, completed time.Duration
	open          []int
	complete      int
}

func (s *replayStep) desired() int { return (9*len(s.open) + 9) / 10 }

// replayItem is an item that waits or runs.
type replayItem struct {
	trainer          *replayTrainer
	step             *replayStep
	group            int
	events, expected int
	queuedAt, endsAt time.Duration
	replica          *Replica
	rank             Rank
}

const replayPeriod = 4 * time.Second

// isDue reports whether the trainer requests a step now.
func (t *replayTrainer) isDue(now time.Duration) bool {
	count := len(t.steps)
	if count > 0 && now < t.steps[count-1].at+replayPeriod {
		return false
	}
	return count < 2 || (t.steps[count-2].completed > 0 && now >= t.steps[count-2].completed+time.Second)
}

// request returns the items of a new step: 8% of the groups have texts that are five times
// longer than others, and one in three hints is off by a factor of 1.6.
func (t *replayTrainer) request(now time.Duration, source *rand.Rand) []*replayItem {
	step := &replayStep{at: now, open: make([]int, t.groups)}
	t.steps = append(t.steps, step)
	var items []*replayItem
	var submitted []SubmittedItem
	for number := range 4 * t.groups {
		events := 4 + int(min(20, source.ExpFloat64()*12))
		if source.Float64() < 0.08 {
			events = min(152, 5*events)
		}
		expected := events
		if draw := source.Float64(); draw < 1.0/6 {
			expected = events * 16 / 10
		} else if draw < 1.0/3 {
			expected = events * 10 / 16
		}
		step.open[number/4]++
		items = append(items, &replayItem{trainer: t, step: step, group: number / 4, events: events, expected: expected, queuedAt: now})
		submitted = append(submitted, SubmittedItem{ID: strconv.Itoa(number), Group: strconv.Itoa(number / 4), ExpectedTokens: float64(expected)})
	}
	for id, rank := range RankItems(submitted, step.desired(), nil) {
		number, _ := strconv.Atoi(id)
		items[number].rank = rank
	}
	return items
}

// finish records the end of an item.
func (i *replayItem) finish(now time.Duration) {
	step := i.step
	if step.open[i.group]--; step.open[i.group] > 0 {
		return
	}
	if step.complete++; step.complete == step.desired() {
		step.completed = now
		if now > step.at+i.trainer.objective+700*time.Millisecond {
			i.trainer.late++
		}
	}
}

// view returns the item's view.
func (i *replayItem) view(now time.Duration, yields, competes bool) Item {
	start, trainer := time.Unix(1000, 0), i.trainer
	lag := trainer.lag + max(0, now-replayPeriod*time.Duration(len(trainer.steps)))
	started := start.Add(i.step.at)
	if competes {
		started = started.Add(trainer.objective - testObjective)
	}
	return Item{
		Priority: trainer.priority, JobStarted: started, Rank: i.rank.Position, Reserve: i.rank.Reserve,
		Deadline: start.Add(i.step.at + trainer.objective), TimeLeft: i.step.at + trainer.objective - now, Objective: trainer.objective,
		ExpectedRunTime: time.Duration(i.expected) * 35 * time.Millisecond, Competes: competes, Tenant: trainer.tenant,
		Waited: now - i.queuedAt, Lag: lag, Yields: yields,
	}
}

// replayOf runs the steps of trainers at 45 replicas with 8 slots, one third of which are slow
// and some of which are lost from 10 to 20 s. It returns the longest time for which an item
// waited while one of its priority that was queued later started.
func replayOf(trainers []*replayTrainer, lost int, competes bool) time.Duration {
	source := rand.New(rand.NewPCG(0, 4))
	intervals := map[string]time.Duration{}
	var replicas []*Replica
	lostReplicas := map[*Replica]bool{}
	for number := range 45 {
		replicas = append(replicas, &Replica{Name: strconv.Itoa(number), Slots: 8, MaxLoad: 8})
		intervals[strconv.Itoa(number)] = 35 * time.Millisecond
		if number%3 == 2 {
			intervals[strconv.Itoa(number)] = 83 * time.Millisecond
		}
		lostReplicas[replicas[number]] = number < lost
	}
	slices.SortStableFunc(replicas, func(a, b *Replica) int { return int(intervals[a.Name] - intervals[b.Name]) })
	paces, passedOver := NewPaces(intervals).WithUsual(intervals, nil), time.Duration(0)
	var waiting, running []*replayItem
	for now := time.Duration(0); now < 32*time.Second; now += 10 * time.Millisecond {
		for _, trainer := range trainers {
			if trainer.isDue(now) {
				waiting = append(waiting, trainer.request(now, source)...)
			}
		}
		isLost := func(replica *Replica) bool {
			return lostReplicas[replica] && now >= 10*time.Second && now < 20*time.Second
		}
		running = slices.DeleteFunc(running, func(item *replayItem) bool {
			item.trainer.used += 10 * time.Millisecond
			switch {
			case isLost(item.replica):
				item.queuedAt = now
				item.replica.Load--
				item.replica = nil
				waiting = append(waiting, item)
			case now >= item.endsAt:
				item.finish(now)
				item.replica.Load--
			default:
				return false
			}
			return true
		})
		// A trainer ends a step once it has the groups that it waits for.
		waiting = slices.DeleteFunc(waiting, func(item *replayItem) bool { return item.step.completed > 0 })
		if now%(100*time.Millisecond) == 0 {
			waiting = sortReplay(waiting, running, paces, now, competes)
		}
		newest, kept, free := map[int]time.Duration{}, waiting[:0], 0
		for _, item := range waiting {
			for free < len(replicas) && (!replicas[free].hasCapacity() || isLost(replicas[free])) {
				free++
			}
			if free == len(replicas) {
				kept = append(kept, item)
				if newest[item.trainer.priority] > item.queuedAt {
					passedOver = max(passedOver, now-item.queuedAt)
				}
				continue
			}
			item.replica = replicas[free]
			item.replica.Load++
			item.endsAt = now + time.Duration(item.events)*intervals[item.replica.Name]
			newest[item.trainer.priority] = max(newest[item.trainer.priority], item.queuedAt)
			running = append(running, item)
		}
		waiting = kept
	}
	return passedOver
}

// sortReplay sorts waiting items as an owner does.
func sortReplay(waiting, running []*replayItem, paces Paces, now time.Duration, competes bool) []*replayItem {
	longest, objectives := map[*replayStep]map[int]int{}, map[*replayStep]time.Duration{}
	for _, item := range slices.Concat(waiting, running) {
		if longest[item.step] == nil {
			longest[item.step] = map[int]int{}
		}
		objectives[item.step] = item.trainer.objective
		left := item.expected
		if item.replica != nil {
			left = int((item.endsAt - now) / (35 * time.Millisecond))
		}
		longest[item.step][item.group] = max(longest[item.step][item.group], left)
	}
	yields := map[*replayStep]bool{}
	for step, groups := range longest {
		objective := objectives[step]
		view := Step{TimeLeft: step.at + objective - now, Desired: step.desired(), Complete: len(step.open) - len(groups)}
		for _, events := range groups {
			view.Unfinished = append(view.Unfinished, StepGroup{RemainingEvents: events})
		}
		yields[step] = !paces.CanBeInTime(view)
	}
	shares := Shares{Used: map[string]int{}}
	for _, item := range running {
		shares.Used[item.trainer.tenant]++
	}
	if len(shares.Used) > 1 {
		shares.Slots = 360
	}
	var views []Item
	for _, item := range waiting {
		views = append(views, item.view(now, yields[item.step], competes))
	}
	var sorted []*replayItem
	for _, index := range Sort(views, shares) {
		sorted = append(sorted, waiting[index])
	}
	return sorted
}

// replayBoth replays the same trainers with the order for competing jobs and with that for
// other jobs, which shows that the load is too high for it.
func replayBoth(lost int, trainers ...replayTrainer) (competing, other []*replayTrainer, passedOver, otherPassedOver time.Duration) {
	for _, trainer := range trainers {
		trainer.objective = cmp.Or(trainer.objective, testObjective)
		first, second := trainer, trainer
		competing, other = append(competing, &first), append(other, &second)
	}
	return competing, other, replayOf(competing, lost, true), replayOf(other, lost, false)
}

// lateSteps returns the number of late steps of trainers.
func lateSteps(trainers []*replayTrainer) int {
	late := 0
	for _, trainer := range trainers {
		late += trainer.late
	}
	return late
}

// Guards against steps that are late because the items of a step that has slack, which were
// queued earlier, take the slots that are left after a third of the replicas was lost.
func TestStepsInTimeWhileAnotherHasSlack(t *testing.T) {
	competing, other, _, _ := replayBoth(15, replayTrainer{groups: 400, objective: 15 * time.Second}, replayTrainer{groups: 60}, replayTrainer{groups: 60}, replayTrainer{groups: 60})
	if late, before := lateSteps(competing), lateSteps(other[1:]); late > 0 || before == 0 {
		t.Errorf("%d steps were late, %d in the order of other jobs", late, before)
	}
}

// Guards against a trainer that is behind and falls further behind when more than half of the
// replicas are lost, because its items wait like those of others.
func TestTrainerFurthestBehindIsNotPassedOver(t *testing.T) {
	competing, other, _, _ := replayBoth(25, replayTrainer{groups: 110, lag: 8 * time.Second}, replayTrainer{groups: 110}, replayTrainer{groups: 110}, replayTrainer{groups: 110})
	if competing[0].late > 0 || lateSteps(other) == 0 {
		t.Errorf("%d steps of the trainer that is behind were late, %d of all in the order of other jobs", competing[0].late, lateSteps(other))
	}
	for _, trainer := range competing[1:] {
		if len(trainer.steps) > len(competing[0].steps) {
			t.Errorf("the trainer that is behind requested %d steps, another one %d", len(competing[0].steps), len(trainer.steps))
		}
	}
}

// Guards against items that wait forever during an overload because newer steps can still be
// in time. The order is updated every 100 ms.
func TestPassedOverBound(t *testing.T) {
	_, _, passedOver, before := replayBoth(25, replayTrainer{groups: 200}, replayTrainer{groups: 150}, replayTrainer{groups: 150}, replayTrainer{groups: 150})
	if passedOver > maxPassedOver+100*time.Millisecond || before <= maxPassedOver {
		t.Errorf("an item was passed over for %s, for %s in the order of other jobs", passedOver, before)
	}
}

// Guards against a tenant whose many trainers take the share of another tenant.
func TestTenantsGetTheirShares(t *testing.T) {
	competing, other, _, _ := replayBoth(15, replayTrainer{groups: 60, tenant: "a"}, replayTrainer{groups: 150, tenant: "b"}, replayTrainer{groups: 150, tenant: "b"}, replayTrainer{groups: 150, tenant: "b"})
	if competing[0].late > 0 || other[0].late == 0 {
		t.Errorf("%d steps of the tenant that remains within its share were late, %d in the order of other jobs", competing[0].late, other[0].late)
	}
	first, second := &replayTrainer{groups: 300, tenant: "a", objective: testObjective}, &replayTrainer{groups: 600, tenant: "b", objective: testObjective}
	replayOf([]*replayTrainer{first, second}, 25, true)
	if share := first.used.Seconds() / (first.used + second.used).Seconds(); share < 0.45 || share > 0.55 {
		t.Errorf("a tenant with half the work of another, which is more than its share, got %.2f of the slots", share)
	}
}
