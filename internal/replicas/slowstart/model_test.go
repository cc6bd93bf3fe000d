package slowstart

import (
	"slices"
	"testing"
	"time"
)

const (
	modelSeeds = 60
	modelSpan  = 30 * time.Second
)

// busiest returns the largest number of requests sent in any second.
func busiest(sent []time.Duration) int {
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

// overrun runs the simulation for each seed. It returns the first seed that exceeds the limit
// with its number of requests, and the total number of requests.
func overrun(fault planted) (seed uint64, most, total int) {
	for seed := range uint64(modelSeeds) {
		played := newWorld(seed, fault)
		played.run(modelSpan)
		for _, sent := range played.sent {
			total += len(sent)
			if most := busiest(sent); most > worldLimits.perSecond(worldRate) {
				return seed, most, total
			}
		}
	}
	return 0, 0, total
}

// Simulates several nodes with real ledgers, clients and gates. Guards against exceeding the
// limit under message delays, losses, and changes of the lease holder.
func TestModelKeepsLimit(t *testing.T) {
	seed, most, total := overrun(planted{})
	if most > 0 {
		t.Errorf("seed %d: %d requests in one second", seed, most)
	}
	t.Logf("%d requests", total)
}

// Guards against keeping the limit by sending almost nothing.
func TestModelUsesRateWithoutFaults(t *testing.T) {
	const leastShare = 0.8
	played := newWorld(1, planted{})
	played.calm = true
	played.run(modelSpan)
	for replica, sent := range played.sent {
		if possible := worldRate * modelSpan.Seconds(); float64(len(sent)) < leastShare*possible {
			t.Errorf("replica %s got %d requests, %.0f are possible", replica, len(sent), possible)
		}
	}
}

func TestModelDetectsInjectedFaults(t *testing.T) {
	for _, fault := range []planted{
		{name: "permit lifetime counted from the reply", fromAnswer: true},
		{name: "new holder allots immediately", atOnce: true},
		{name: "ledger lost while the lease is held", forgets: true},
		{name: "previous holders continue to allot", twice: true},
		{name: "expired permits are used", unused: true},
		{name: "ledger window too short", short: true},
	} {
		t.Run(fault.name, func(t *testing.T) {
			seed, most, _ := overrun(fault)
			if most == 0 {
				t.Error("fault was not detected")
			}
			t.Logf("seed %d: %d requests in one second", seed, most)
		})
	}
}
