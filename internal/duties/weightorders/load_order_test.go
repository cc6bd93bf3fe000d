package weightorders

import (
	"slices"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

const (
	testLoadTime   = 1200 * time.Millisecond
	testStepPeriod = 4 * time.Second
	testMaxLoads   = 9
	testTick       = 100 * time.Millisecond
	testTolerance  = 1
)

var testModels = []string{"a", "b", "c", "d"}

// loadLoop applies the order of loads to the homes of four models in steps of testTick.
type loadLoop struct {
	t *testing.T
	// known are the speeds, and used those that the order depends on.
	known, used *speeds
	homes       map[string][]*directory.Replica
	versions    map[string]int64 // by model and replica
	named       int64
	waiting     map[string]int
	now         time.Duration
	loading     map[string]runningLoad // by replica
	started     []task
	maxLoads    int
}

type runningLoad struct {
	task
	until time.Duration
}

// newLoadLoop returns a loop in which all homes have the named version.
func newLoadLoop(t *testing.T, all []*directory.Replica, known, used *speeds) *loadLoop {
	loop := &loadLoop{t: t, known: known, used: used, versions: map[string]int64{}, named: 10, loading: map[string]runningLoad{}, maxLoads: testMaxLoads}
	loop.plan(all)
	for model, assigned := range loop.homes {
		for _, replica := range assigned {
			loop.versions[model+replica.ID] = loop.named
		}
	}
	return loop
}

func (l *loadLoop) plan(all []*directory.Replica) {
	l.homes = homesFor(all, sharesOf(testModels, nil), nil, l.used)
}

// fastHomes returns the number of a model's fast homes, how many of them load it, and how
// many of those that load had a version that open jobs allow.
func (l *loadLoop) fastHomes(model string) (fast, loading, allowedLoading int) {
	for _, replica := range l.homes[model] {
		if !l.known.isFast(replica.ID) {
			continue
		}
		fast++
		if running, busy := l.loading[replica.ID]; busy && running.model == model {
			loading++
			if running.version-running.loadedVersion <= testTolerance+1 {
				allowedLoading++
			}
		}
	}
	return fast, loading, allowedLoading
}

// tick ends and starts loads, and checks their limits.
func (l *loadLoop) tick() {
	l.now += testTick
	loading := map[string]int{}
	for replica, running := range l.loading {
		if l.now >= running.until {
			l.versions[running.model+replica] = running.version
			delete(l.loading, replica)
		} else {
			loading[running.model]++
		}
	}
	var pending []task
	for _, model := range testModels {
		_, fastLoads, _ := l.fastHomes(model)
		state := modelState{model: model, namedVersion: l.named, tolerance: testTolerance, speeds: l.used, waitingItems: l.waiting[model], fastLoads: fastLoads}
		for _, replica := range l.homes[model] {
			state.homes = append(state.homes, home{replica: replica, loadedVersion: l.versions[model+replica.ID]})
		}
		pending = append(pending, tasksOf(state)...)
	}
	pending = slices.DeleteFunc(pending, func(next task) bool { _, busy := l.loading[next.target.ID]; return busy })
	chosen := chooseLoads(pending, loading, l.maxLoads)
	for _, next := range chosen {
		l.loading[next.target.ID] = runningLoad{task: next, until: l.now + testLoadTime}
		l.started = append(l.started, next)
	}
	l.checkOptional(pending, chosen)
	for _, model := range testModels {
		if fast, _, loading := l.fastHomes(model); l.used != nil && loading > max(1, fast/2) {
			l.t.Errorf("%s: model %s loads at %d of %d fast homes", l.now, model, loading, fast)
		}
	}
}

// checkOrder checks that the first loads are those of the model whose items wait.
func (l *loadLoop) checkOrder(awaited string, loads int) {
	l.t.Helper()
	for number, started := range l.started[:min(len(l.started), loads)] {
		if started.model != awaited {
			l.t.Errorf("load %d is of model %s, want %s, whose items wait", number, started.model, awaited)
		}
	}
}

// checkOptional checks that no optional load was chosen if a required one could start instead.
func (l *loadLoop) checkOptional(pending, chosen []task) {
	if !slices.ContainsFunc(chosen, func(next task) bool { return next.optional }) {
		return
	}
	for _, next := range pending {
		_, busy := l.loading[next.target.ID]
		_, fastLoads, _ := l.fastHomes(next.model)
		limited := next.speed.fast && next.speed.maxFastLoads > 0 && fastLoads >= next.speed.maxFastLoads
		if !next.optional && !busy && !limited {
			l.t.Errorf("%s: an optional load was started before the required one of model %s at %s", l.now, next.model, next.target.ID)
		}
	}
}

// run names a version every testStepPeriod, and returns the fraction of the fast homes that
// have one of the two newest versions and do not load, over time.
func (l *loadLoop) run(duration time.Duration) float64 {
	usable, counted := 0, 0
	for end := l.now + duration; l.now < end; {
		if l.now%testStepPeriod == 0 {
			l.named++
		}
		l.tick()
		for _, model := range testModels {
			for _, replica := range l.homes[model] {
				if !l.known.isFast(replica.ID) {
					continue
				}
				counted++
				if running, busy := l.loading[replica.ID]; l.versions[model+replica.ID] >= l.named-testTolerance && (!busy || running.model != model) {
					usable++
				}
			}
		}
	}
	return float64(usable) / float64(counted)
}

// Long texts wait for fast replicas: their weights must be usable more of the time than if
// loads are ordered without speeds, though no more than half of them load at once.
func TestFastReplicasAreUsableMoreOften(t *testing.T) {
	for _, test := range []struct{ fastMs, slowMs int }{{35, 83}, {49, 62}} {
		all, known := unevenReplicas(test.fastMs, test.slowMs)
		with, without := newLoadLoop(t, all, known, known).run(2*time.Minute), newLoadLoop(t, all, known, nil).run(2*time.Minute)
		t.Logf("%d and %d ms: usable fraction of the fast homes %.3f with speeds, %.3f without", test.fastMs, test.slowMs, with, without)
		if with < without+0.03 {
			t.Errorf("%d and %d ms: usable fraction of the fast homes %.3f, %.3f without speeds", test.fastMs, test.slowMs, with, without)
		}
	}
}

// If versions are named faster than all replicas can load, slow replicas must not be passed
// over forever: without a limit, they lagged by 30 versions after 2 minutes.
func TestSlowReplicasAreNotPassedOver(t *testing.T) {
	all, known := unevenReplicas(35, 83)
	loop := newLoadLoop(t, all, known, known)
	loop.maxLoads = 6
	loop.run(2 * time.Minute)
	for _, model := range testModels {
		for _, replica := range loop.homes[model] {
			if lag := loop.named - loop.versions[model+replica.ID]; lag > testTolerance+maxPassedOver+2 {
				t.Errorf("%s lags by %d versions of model %s, want at most %d", replica.ID, lag, model, testTolerance+maxPassedOver+2)
			}
		}
	}
}

// Items waited up to 4.2 s for a replica with their version while other models loaded.
func TestWaitingItemsLoadFirst(t *testing.T) {
	for _, awaited := range testModels {
		all, known := unevenReplicas(35, 83)
		loop := newLoadLoop(t, all, known, known)
		loop.named += testTolerance + 1
		loop.waiting = map[string]int{awaited: 40}
		loop.tick()
		loop.checkOrder(awaited, 5)
		loaded := map[string]int{}
		for _, started := range loop.started {
			loaded[started.model]++
		}
		if len(loop.started) != testMaxLoads || loaded[awaited] != 5 {
			t.Errorf("%v loads by model, want 5 for the 40 waiting items of %s and 4 others", loaded, awaited)
		}
	}
}

// If all fast homes of a model load at once, the items of the step before have only slow
// replicas left, at which long texts are late.
func TestHalfOfFastReplicasKeepServing(t *testing.T) {
	all, known := unevenReplicas(35, 83)
	loop := newLoadLoop(t, all, known, known)
	loop.named += testTolerance + 1
	loop.waiting = map[string]int{"a": 1000}
	for range 5 {
		loop.tick()
		if fast, loading, _ := loop.fastHomes("a"); loading != fast/homesPerFastLoad {
			t.Errorf("%d of %d fast homes load, want half", loading, fast)
		}
	}
}

// After an outage of the store, dozens of replicas return at once with old weights. Loads of
// models without waiting items, or optional ones, must not delay those that items wait for.
func TestLoadsAfterStoreOutage(t *testing.T) {
	all, known := unevenReplicas(35, 83)
	loop := newLoadLoop(t, all, known, known)
	loop.named += 5
	for _, replica := range all[36:] {
		for _, model := range testModels {
			loop.versions[model+replica.ID] = loop.named - 1
		}
	}
	loop.waiting = map[string]int{"c": 32}
	loop.tick()
	loop.checkOrder("c", 4)
	for _, started := range loop.started[:4] {
		if !started.speed.fast {
			t.Errorf("replica %s, which is slow, is among the first to load", started.target.ID)
		}
	}
	loop.waiting = nil
	for loop.now < 20*time.Second {
		loop.tick()
	}
	for _, model := range testModels {
		for _, replica := range loop.homes[model] {
			if loop.versions[model+replica.ID] < loop.named {
				t.Errorf("%s lacks the newest version of %s after 20 s", replica.ID, model)
			}
		}
	}
}

// All replicas that returned had no weights. None of them can run items of any job, so half
// of the fast ones must not be kept from loading.
func TestRestartedFastReplicasAllLoad(t *testing.T) {
	all, known := unevenReplicas(35, 83)
	loop := newLoadLoop(t, all, known, known)
	clear(loop.versions)
	loop.waiting = map[string]int{"b": 1000}
	loop.tick()
	loop.checkOrder("b", testMaxLoads)
	fast, loading, _ := loop.fastHomes("b")
	if want := min(fast, testMaxLoads); loading != want {
		t.Errorf("%d of %d fast homes load, want %d", loading, fast, want)
	}
}

// When a zone is reclaimed, the other replicas become homes of models that they lack. The
// model whose items wait must get them first, and no model must stop using its fast replicas.
func TestLoadsAfterReclaimedZone(t *testing.T) {
	all, known := unevenReplicas(49, 62)
	loop := newLoadLoop(t, all, known, known)
	loop.run(10 * time.Second)
	loop.plan(all[15:])
	clear(loop.loading)
	loop.started, loop.waiting = nil, map[string]int{"d": 16}
	loop.tick()
	loop.checkOrder("d", 2)
	loop.waiting = nil
	for range 200 {
		loop.tick()
	}
}

// Tasks without speeds must be ordered as before speeds were known.
func TestOrderWithoutSpeedsIsUnchanged(t *testing.T) {
	all, known := unevenReplicas(50, 50)
	if known != nil {
		t.Fatal("speeds of even replicas count")
	}
	loop := newLoadLoop(t, all, nil, nil)
	loop.named += 2
	loop.waiting = map[string]int{"d": 1000}
	loop.tick()
	loaded := map[string]int{}
	for _, started := range loop.started {
		loaded[started.model]++
		if started.speed != (taskSpeed{}) {
			t.Errorf("task of %s has speeds %+v", started.target.ID, started.speed)
		}
	}
	for _, model := range testModels {
		if loaded[model] < 2 {
			t.Errorf("%d loads of model %s, want 2 or 3: models take turns", loaded[model], model)
		}
	}
}
