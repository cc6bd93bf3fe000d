package weightorders

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// countNewHomes returns the number of homes in after that are not in before.
func countNewHomes(before, after map[string][]*directory.Replica) int {
	had := map[string]bool{}
	for model, assigned := range before {
		for _, replica := range assigned {
			had[model+" "+replica.ID] = true
		}
	}
	added := 0
	for model, assigned := range after {
		for _, replica := range assigned {
			if !had[model+" "+replica.ID] {
				added++
			}
		}
	}
	return added
}

func countHomes(homes map[string][]*directory.Replica) int { return countNewHomes(nil, homes) }

// A model with as many replicas as others, but slower ones, would fall behind.
func TestCapacityFollowsWork(t *testing.T) {
	for _, test := range []struct {
		fastMs, slowMs int
		demand         map[string]float64
	}{{35, 83, nil}, {49, 62, nil}, {35, 83, map[string]float64{"a": 100, "b": 100, "c": 200, "d": 400}}} {
		all, known := unevenReplicas(test.fastMs, test.slowMs)
		shares := sharesOf(testModels, test.demand)
		assigned, usual := homesBySpeed(all, shares, nil, known), homes(all, shares, nil)
		// capacityOf returns the number of events a second.
		capacityOf := func(replicas []*directory.Replica) float64 {
			capacity := 0.0
			for _, replica := range replicas {
				interval := test.slowMs
				if known.isFast(replica.ID) {
					interval = test.fastMs
				}
				capacity += 8 * 1000 / float64(interval)
			}
			return capacity
		}
		largest := 8 * 1000 / float64(test.fastMs)
		for _, share := range shares {
			want, got := homeShareFactor*share.fraction*capacityOf(all), capacityOf(assigned[share.model])
			if math.Abs(got-want) > largest {
				t.Errorf("%d and %d ms: %.0f events a second for model %s, want %.0f and at most one replica more or less", test.fastMs, test.slowMs, got, share.model, want)
			}
		}
		if got, most := countHomes(assigned), countHomes(usual); got > most {
			t.Errorf("%d and %d ms: %d homes, more than %d without speeds: each costs loads", test.fastMs, test.slowMs, got, most)
		}
	}
}

// At 83 ms an event, long texts are late wherever they start. The models with longer texts must
// get fast replicas first, but others must keep some for their own long texts.
func TestLongTextsGetFastReplicas(t *testing.T) {
	for _, test := range []struct {
		fastMs, slowMs int
		lengths        map[string]int
		want           map[string]int
	}{
		{35, 83, nil, map[string]int{"a": 11, "b": 11, "c": 11, "d": 11}},
		{35, 83, map[string]int{"d": 2}, map[string]int{"a": 10, "b": 10, "c": 10, "d": 13}},
		{49, 62, map[string]int{"b": 1, "c": 1, "d": 1}, map[string]int{"a": 7, "b": 13, "c": 13, "d": 13}},
	} {
		all, known := unevenReplicas(test.fastMs, test.slowMs)
		known.lengths = test.lengths
		for model, assigned := range homesBySpeed(all, sharesOf(testModels, nil), nil, known) {
			fast := 0
			for _, replica := range assigned {
				if known.isFast(replica.ID) {
					fast++
				}
			}
			if fast < test.want[model] || fast > test.want[model]+1 {
				t.Errorf("%d and %d ms, lengths %v: %d fast homes of model %s, want %d or one more", test.fastMs, test.slowMs, test.lengths, fast, model, test.want[model])
			}
		}
	}
}

// Each home that moves costs a load of 1.2 s, and 9 run at a time. The loss or the arrival of
// a replica, or a new class of one, must move few of them.
func TestHomesBySpeedAreStable(t *testing.T) {
	for _, test := range []struct{ fastMs, slowMs int }{{35, 83}, {49, 62}} {
		all, known := unevenReplicas(test.fastMs, test.slowMs)
		shares := sharesOf(testModels, nil)
		before := homesBySpeed(all, shares, nil, known)
		lost, arrived, changed, usual := 0, 0, 0, 0
		for number, replica := range all {
			others := append(append([]*directory.Replica{}, all[:number]...), all[number+1:]...)
			without := homesBySpeed(others, shares, nil, known)
			lost, arrived = max(lost, countNewHomes(before, without)), max(arrived, countNewHomes(without, before))
			usual = max(usual, countNewHomes(homes(all, shares, nil), homes(others, shares, nil)))
			classes := maps.Clone(known.classes)
			classes[replica.ID]++
			changed = max(changed, countNewHomes(before, homesBySpeed(all, shares, nil, newSpeeds(classes, nil))))
		}
		t.Logf("%d and %d ms: at most %d of %d homes are new after a loss, %d after an arrival, %d after a new class; without speeds %d after a loss", test.fastMs, test.slowMs, lost, countHomes(before), arrived, changed, usual)
		if lost > 8 || arrived > 8 || changed > 8 {
			t.Errorf("%d and %d ms: %d, %d and %d homes are new after a loss, an arrival and a new class, want at most 8", test.fastMs, test.slowMs, lost, arrived, changed)
		}
	}
}

// homesOverTime returns the homes of a coordinator after some time, and how often they were
// computed. intervalOf is the usual interval of a replica at a time.
func homesOverTime(t *testing.T, count int, intervalOf func(number int, at time.Duration) time.Duration) (map[string][]string, int) {
	t.Helper()
	coordinator, table := coordinatorOf(count, Demand{MaxItems: map[string]int{"m": 64, "n": 64}})
	created := NewCoordinator(Config{
		Directory: table, Tolerance: coordinator.config.Tolerance, Demand: coordinator.config.Demand, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
		Waiting: func() map[string]int { return map[string]int{"m": 100} },
	})
	at := time.Duration(0)
	if intervalOf != nil {
		created.config.UsualIntervals = func() map[string]time.Duration {
			intervals := map[string]time.Duration{}
			for number := range count {
				if interval := intervalOf(number, at); interval > 0 {
					intervals[fmt.Sprint("replica-", number)] = interval
				}
			}
			return intervals
		}
	}
	began, plans, last := time.Now(), 0, (*cachedHomes)(nil)
	for ; at < 2*time.Minute; at += time.Second {
		created.sampleSpeeds(table.View(), created.currentDemand(), began.Add(at))
		created.pendingTasks(table.View(), created.currentDemand())
		if current := created.homeCache["s"]; current != last {
			last, plans = current, plans+1
		}
	}
	return last.homes, plans
}

// Deployments without known or with nearly equal speeds must be served as before, and in
// others neither small changes of intervals nor disturbances may move homes repeatedly.
func TestHomesFollowSpeedsOnlyWhereTheyCount(t *testing.T) {
	uneven := func(number int) time.Duration { return time.Duration(35+48*(number/30)) * time.Millisecond }
	for _, test := range []struct {
		name       string
		intervalOf func(number int, at time.Duration) time.Duration
		want       bool
		plans      int
		large      bool
	}{
		{"none known", func(int, time.Duration) time.Duration { return 0 }, false, 1, false},
		{"nearly equal", func(number int, _ time.Duration) time.Duration { return time.Duration(50+number%8) * time.Millisecond }, false, 1, false},
		{"uneven", func(number int, _ time.Duration) time.Duration { return uneven(number) }, true, 2, false},
		{"uneven, more replicas than candidates", func(number int, _ time.Duration) time.Duration { return uneven(number % 45) }, false, 1, true},
		{"uneven, small changes", func(number int, at time.Duration) time.Duration {
			return uneven(number) * time.Duration(95+(number*7+int(at/time.Second)*3)%11) / 100
		}, true, 2, false},
		{"uneven, disturbances", func(number int, at time.Duration) time.Duration {
			if (int(at/time.Second)+number)%7 == 0 {
				return uneven(number) * 5 / 2
			}
			return uneven(number)
		}, true, 2, false},
	} {
		count := 45
		if test.large {
			count = minCandidates + 1
		}
		usual, _ := homesOverTime(t, count, nil)
		got, plans := homesOverTime(t, count, test.intervalOf)
		if same := maps.EqualFunc(got, usual, slices.Equal[[]string]); same == test.want || plans != test.plans {
			t.Errorf("%s: homes as without speeds %v, planned %d times, want %v and %d", test.name, same, plans, !test.want, test.plans)
		}
	}
}
