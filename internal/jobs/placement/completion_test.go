package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// The texts and replicas of the deployments in docs/design/load-decisions.md.
const (
	stepObjective = 7500 * time.Millisecond
	longestText   = 152
)

// unevenReplicas returns idle replicas, the first of them fast and the others slow, and their
// paces. The measured intervals differ by up to 2% from those given, in milliseconds.
func unevenReplicas(random *rand.Rand, fast, slow, fastMs, slowMs, slots int) (Paces, []*Replica) {
	usual := map[string]time.Duration{}
	var names []string
	for number := range fast + slow {
		name, interval := fmt.Sprintf("fast-%d", number), fastMs
		if number >= fast {
			name, interval = fmt.Sprintf("slow-%d", number), slowMs
		}
		names = append(names, name)
		usual[name] = time.Duration(float64(interval) * (0.98 + 0.04*random.Float64()) * float64(time.Millisecond))
	}
	paces := NewPaces(usual).WithUsual(usual, map[string]bool{})
	var created []*Replica
	for _, name := range names {
		created = append(created, NewReplica(name, slots, 0, paces, ReplicaHealth{SinceEvent: time.Minute}))
	}
	return paces, created
}

func isFast(name string) bool { return strings.HasPrefix(name, "fast") }

// generateText returns the length of a text and the caller's hint: 8% of the texts are five times
// longer, and one hint in three is off by 1.6.
func generateText(random *rand.Rand) (length, hint int) {
	length = 4 + random.IntN(25)
	if random.Float64() < 0.08 {
		length *= 5
	}
	length = min(length, longestText)
	hint = length
	switch random.IntN(6) {
	case 0:
		hint = max(1, length*10/16)
	case 1:
		hint = length * 16 / 10
	}
	return length, hint
}

// Guards against items that wait while a replica is idle, and against slots used twice.
func TestPickByCompletionUsesEverySlot(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for round := range 20 {
		paces, candidates := unevenReplicas(random, 30, 15, 35, 83, 8)
		for placed := range 45 * 8 {
			_, hint := generateText(random)
			left := time.Duration(random.Int64N(int64(stepObjective+2*time.Second))) - 2*time.Second
			picked := PickByCompletion(paces, candidates, NewWork(hint, 0, longestText, left), Preference{})
			if picked == nil || picked.Load >= picked.Slots {
				t.Fatalf("round %d: picked %v with %d of 360 slots used", round, picked, placed)
			}
			picked.Add(Work{TextEvents: hint, Remaining: hint})
		}
		if picked := PickByCompletion(paces, candidates, Work{}, Preference{}); picked != nil {
			t.Fatalf("round %d: picked %s without a free slot", round, picked.Name)
		}
	}
}

// Guards against short items that fill the fast replicas, so that the long items of a new step
// find them full.
func TestPickByCompletionKeepsFastReplicasForLongItems(t *testing.T) {
	for _, deployment := range []struct{ fastMs, slowMs, longest int }{{35, 83, 152}, {49, 62, 156}} {
		random := rand.New(rand.NewPCG(5, 6))
		paces, candidates := unevenReplicas(random, 30, 15, deployment.fastMs, deployment.slowMs, 8)
		for range 15 * 8 {
			short := NewWork(5, 0, deployment.longest, 8500*time.Millisecond)
			picked := PickByCompletion(paces, candidates, short, Preference{})
			if isFast(picked.Name) {
				t.Fatalf("%d ms: a short item went to %s with a free slot at a slow replica", deployment.fastMs, picked.Name)
			}
			picked.Add(short)
		}
		for _, candidate := range candidates {
			candidate.Load, candidate.ExpectedEvents = 0, 0
		}
		for range 30 * longTextsPerReplica {
			long := NewWork(deployment.longest, 0, deployment.longest, stepObjective)
			picked := PickByCompletion(paces, candidates, long, Preference{})
			picked.Add(long)
			if !isFast(picked.Name) || picked.Load > longTextsPerReplica {
				t.Fatalf("%d ms: a long item went to %s with %d others", deployment.fastMs, picked.Name, picked.Load-1)
			}
		}
	}
}

// Guards against a text that proves longer than expected and can no longer be in time when it
// moves: an item at a slower replica has to reach its expected end, with a margin for the hint,
// while a move would still be in time.
func TestPickByCompletionSlowerReplicaOnlyIfStillMovable(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	slower := 0
	for range 2000 {
		paces, candidates := unevenReplicas(random, 30, 15, 35, 83, 8)
		length, hint := generateText(random)
		work := NewWork(hint, random.IntN(length), longestText, time.Duration(random.Int64N(int64(stepObjective))))
		picked := PickByCompletion(paces, candidates, work, Preference{})
		if isFast(picked.Name) {
			continue
		}
		slower++
		// The longest plausible text runs here until its expected end, then at a fast replica.
		interval := paces.UsualAt(picked.Name)
		spent := work.runTime(interval)
		end := spent + moveCost + work.maxRunTime(paces.fastQuarter) - time.Duration(work.Remaining)*paces.fastQuarter
		if end > work.TimeLeft {
			t.Fatalf("%+v went to a replica of %s and could end only after %s", work, interval, end)
		}
	}
	if slower < 100 {
		t.Errorf("only %d items went to slower replicas", slower)
	}
}

// Guards against placing items at replicas that answer late or not at all, and against leaving
// items waiting if there are no others.
func TestPickByCompletionLastResort(t *testing.T) {
	work := NewWork(longestText, 0, longestText, stepObjective)
	for name, health := range map[string]ReplicaHealth{
		"failing": {Failing: true}, "unresponsive": {Unresponsive: true}, "disturbed": {SinceEvent: time.Second},
	} {
		paces, candidates := unevenReplicas(rand.New(rand.NewPCG(9, 10)), 3, 3, 35, 83, 8)
		troubled := NewReplica("fast-0", 8, 0, paces, health)
		paces.disturbed["fast-0"] = name == "disturbed"
		candidates[0] = troubled
		for _, other := range candidates[1:] {
			for other.hasCapacity() {
				if picked := PickByCompletion(paces, candidates, work, Preference{}); picked == troubled {
					t.Fatalf("%s replica picked while %s has a free slot", name, other.Name)
				} else {
					picked.Add(work)
				}
			}
		}
		if picked := PickByCompletion(paces, candidates, work, Preference{}); picked != troubled {
			t.Errorf("%s replica not picked although no other has a free slot", name)
		}
	}
}

func TestPickByCompletionFailedReplicas(t *testing.T) {
	paces, candidates := unevenReplicas(rand.New(rand.NewPCG(11, 12)), 1, 2, 35, 83, 8)
	work := NewWork(longestText, 0, longestText, stepObjective)
	if picked := PickByCompletion(paces, candidates, work, Preference{FailedReplicas: []string{"fast-0"}}); picked.Name == "fast-0" {
		t.Error("picked the replica at which the item has failed")
	}
	all := []string{"fast-0", "slow-1", "slow-2"}
	if picked := PickByCompletion(paces, candidates, work, Preference{FailedReplicas: all}); picked == nil || picked.Name != "fast-0" {
		t.Errorf("picked %v for an item that has failed everywhere, want the fast replica", picked)
	}
	if picked := PickByCompletion(paces, nil, work, Preference{}); picked != nil {
		t.Errorf("picked %v without replicas", picked)
	}
}

// A new owner knows no speeds, or few of them.
func TestPickByCompletionUnknownSpeeds(t *testing.T) {
	work := NewWork(longestText, 0, longestText, stepObjective)
	if picked := PickByCompletion(Paces{}, replicas(4, 2, 3), work, Preference{}); picked.Name != "b" {
		t.Errorf("picked %s without known speeds, want the least utilized replica", picked.Name)
	}
	paces, candidates := unevenReplicas(rand.New(rand.NewPCG(13, 14)), 2, 3, 35, 83, 8)
	unknown := NewReplica("unknown", 8, 0, paces, ReplicaHealth{SinceEvent: time.Minute})
	if picked := PickByCompletion(paces, append(candidates, unknown), work, Preference{}); !isFast(picked.Name) {
		t.Errorf("a long item went to %s: unknown speeds count as the median, here a slow one", picked.Name)
	}
	if picked := PickByCompletion(paces, append(candidates[2:], unknown), NewWork(5, 0, longestText, stepObjective), Preference{}); picked == nil {
		t.Error("a short item found no replica")
	}
}

// Guards against an order of placement that leaves long items for the end of a job. Items are
// placed longest first, each when a slot is free, with a deadline 10% after the best latest end.
func TestPickByCompletionAgainstBestAssignment(t *testing.T) {
	const maxFactor = 1.5
	random := rand.New(rand.NewPCG(15, 16))
	for round := range 300 {
		slots := 1 + random.IntN(2)
		paces, candidates := unevenReplicas(random, 2, 2, 35, 83, slots)
		var slotIntervals []time.Duration
		for _, candidate := range candidates {
			for range slots {
				slotIntervals = append(slotIntervals, paces.UsualAt(candidate.Name))
			}
		}
		lengths := make([]int, 6+random.IntN(3))
		for index := range lengths {
			lengths[index], _ = generateText(random)
		}
		slices.SortFunc(lengths, func(a, b int) int { return b - a })
		best := bestLatestEnd(slotIntervals, lengths)
		if latest := placedLatestEnd(paces, candidates, lengths, best*11/10); float64(latest) > maxFactor*float64(best) {
			t.Errorf("round %d: %v with %d slots end after %s, the best is %s", round, lengths, slots, latest, best)
		}
	}
}

// bestLatestEnd returns the earliest time at which all items can be complete, by searching all
// assignments to slots.
func bestLatestEnd(slotIntervals []time.Duration, lengths []int) time.Duration {
	best := time.Hour
	ends := make([]time.Duration, len(slotIntervals))
	var assign func(next int, latest time.Duration)
	assign = func(next int, latest time.Duration) {
		if latest >= best {
			return
		}
		if next == len(lengths) {
			best = latest
			return
		}
		for slot, interval := range slotIntervals {
			before := ends[slot]
			ends[slot] += time.Duration(lengths[next]) * interval
			assign(next+1, max(latest, ends[slot]))
			ends[slot] = before
		}
	}
	assign(0, 0)
	return best
}

// placedLatestEnd returns when the last item ends if each is placed as soon as a slot is free.
func placedLatestEnd(paces Paces, candidates []*Replica, lengths []int, objective time.Duration) time.Duration {
	type placed struct {
		end     time.Duration
		replica *Replica
	}
	var running []placed
	var now, latest time.Duration
	for _, length := range lengths {
		work := NewWork(length, 0, length, objective-now)
		picked := PickByCompletion(paces, candidates, work, Preference{})
		if picked == nil {
			slices.SortFunc(running, func(a, b placed) int { return int(a.end - b.end) })
			now, running[0].replica.Load = running[0].end, running[0].replica.Load-1
			running = running[1:]
			work.TimeLeft = objective - now
			picked = PickByCompletion(paces, candidates, work, Preference{})
		}
		picked.Load++
		end := now + work.runTime(paces.UsualAt(picked.Name))
		running = append(running, placed{end, picked})
		latest = max(latest, end)
	}
	return latest
}
