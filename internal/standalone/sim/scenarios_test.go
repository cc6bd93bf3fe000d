package sim

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func report(t *testing.T, result Result) {
	t.Helper()
	for _, found := range result.Violations {
		t.Error(found)
	}
	t.Logf("%d requests, %d answered, %d steps", result.Requests, result.Answered, result.Steps)
}

func TestRollingStopCutsNothing(t *testing.T) {
	t.Parallel()
	report(t, RollingStop(DefaultConfig(1)))
}

func TestLeavingEnginesGetNoWork(t *testing.T) {
	t.Parallel()
	report(t, Leaving(DefaultConfig(1)))
}

// TestDistantDrainIsKnownSoon has more engines than every zone follows. The
// scheduler polls those of other zones every 10 s, but must know within 3 s
// that one drains.
func TestDistantDrainIsKnownSoon(t *testing.T) {
	t.Parallel()
	config := DefaultConfig(2)
	config.Engines, config.Nodes = 96, 9
	world := NewWorld(config)
	world.StartQuiet()
	world.Scheduler.Run(40 * time.Second)
	var scheduler *Node
	for _, member := range world.Nodes {
		if slices.Contains(member.core.Leases(), "scheduler/"+trainerName) {
			scheduler = member
		}
	}
	if scheduler == nil {
		t.Fatal("no node schedules for the trainer")
	}
	drained := map[string]bool{}
	for _, name := range world.order[:30] {
		if engine := world.Engines[name]; engine.host.Zone != scheduler.host.Zone {
			engine.Drain()
			drained[name] = true
		}
	}
	world.Scheduler.Run(leavingLimit)
	for _, endpoint := range scheduler.core.Snapshot().Endpoints {
		if drained[endpoint.Address] && !endpoint.Excluded() {
			t.Errorf("%s drains and is not excluded after %s", endpoint.Address, leavingLimit)
		}
	}
}

func TestManyChangesAreInForceSoon(t *testing.T) {
	t.Parallel()
	result := ManyChanges(DefaultConfig(1), 100)
	report(t, result.Result)
	t.Logf("%d generations, slowest %s of virtual time", result.Generations, result.Slowest)
	if result.Slowest > 5*time.Second {
		t.Errorf("a generation took %s of virtual time to be in force everywhere", result.Slowest)
	}
}

func TestOutageOfAnHour(t *testing.T) {
	t.Parallel()
	config := DefaultConfig(1)
	config.RequestsPerSecond = 1
	result := Outage(config, time.Hour)
	report(t, result.Result)
	t.Logf("in the outage: %d answered, %d steps; calls before %d, after %d", result.AnsweredInOutage, result.StepsInOutage, result.RequestsBefore, result.RequestsAfter)
	if result.AnsweredInOutage == 0 || result.StepsInOutage == 0 {
		t.Error("nothing went on during the outage")
	}
	if result.RequestsAfter > 3*result.RequestsBefore {
		t.Errorf("%d calls met the object API after the outage, %d before it", result.RequestsAfter, result.RequestsBefore)
	}
}

func TestSameSeedSameTrace(t *testing.T) {
	t.Parallel()
	first, second, other := Chaos(DefaultConfig(7)), Chaos(DefaultConfig(7)), Chaos(DefaultConfig(8))
	if first.Hash != second.Hash {
		t.Errorf("the same seed gave traces %x and %x", first.Hash, second.Hash)
	}
	if first.Hash == other.Hash {
		t.Error("two seeds gave the same trace")
	}
}

// TestReadersAreOnDifferentNodes starts one node before the others, which then
// holds every lease. The second reader must soon be elsewhere.
func TestReadersAreOnDifferentNodes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		world := NewWorld(DefaultConfig(seed + 1))
		world.startQuietly(5 * time.Second)
		world.Scheduler.Run(15 * time.Second)
		holders := map[string][]string{}
		for _, node := range world.Nodes {
			for _, name := range node.core.Leases() {
				if strings.HasPrefix(name, "reader/") {
					holders[node.host.Region] = append(holders[node.host.Region], node.host.Name)
				}
			}
		}
		for region, names := range holders {
			if len(names) == 2 && names[0] == names[1] {
				t.Errorf("seed %d: both readers of %s are on %s", seed+1, region, names[0])
			}
		}
		if len(holders) == 0 {
			t.Errorf("seed %d: nobody reads", seed+1)
		}
	}
}
