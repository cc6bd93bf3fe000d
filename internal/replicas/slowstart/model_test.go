package slowstart

import (
	"slices"
	"testing"
	"time"
)

const (
	modelSeeds    = 60
	modelDuration = 30 * time.Second
)

// maxPerSecond returns the largest number of requests sent in any second.
func maxPerSecond(sent []time.Duration) int {
	sorted := slices.Sorted(slices.Values(sent))
	most, first := 0, 0
	for last, at := range sorted {
		for at-sorted[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// firstViolation runs the simulation for each seed. It returns the first seed that exceeds
// the limit with its number of requests, and the total number of requests.
func firstViolation(fault injectedFault) (seed uint64, most, total int) {
	for seed := range uint64(modelSeeds) {
		sim := newSimulation(seed, fault)
		sim.run(modelDuration)
		for _, sent := range sim.sent {
			total += len(sent)
			if most := maxPerSecond(sent); most > modelLimits.perSecond(modelRate) {
				return seed, most, total
			}
		}
	}
	return 0, 0, total
}

// Simulates several nodes with real ledgers, clients and gates. Guards against exceeding the
// limit under message delays, losses, and changes of the lease holder.
func TestModelKeepsLimit(t *testing.T) {
	seed, most, total := firstViolation(injectedFault{})
	if most > 0 {
		t.Errorf("seed %d: %d requests in one second", seed, most)
	}
	t.Logf("%d requests", total)
}

// Guards against keeping the limit by sending almost nothing.
func TestModelUsesRateWithoutFaults(t *testing.T) {
	const minShare = 0.8
	sim := newSimulation(1, injectedFault{})
	sim.calm = true
	sim.run(modelDuration)
	for replica, sent := range sim.sent {
		if possible := modelRate * modelDuration.Seconds(); float64(len(sent)) < minShare*possible {
			t.Errorf("replica %s got %d requests, %.0f are possible", replica, len(sent), possible)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []injectedFault{
		{name: "permit lifetime counted from the reply", lifetimeFromReply: true},
		{name: "new holder allots immediately", allotsImmediately: true},
		{name: "ledger lost while the lease is held", losesLedger: true},
		{name: "previous holders continue to allot", previousHolderAllots: true},
		{name: "expired permits are used", usesExpired: true},
		{name: "ledger window too short", shortWindow: true},
	} {
		t.Run(fault.name, func(t *testing.T) {
			seed, most, _ := firstViolation(fault)
			if most == 0 {
				t.Error("fault was not detected")
			}
			t.Logf("seed %d: %d requests in one second", seed, most)
		})
	}
}
