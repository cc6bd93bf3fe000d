package sim

import (
	"fmt"
	"testing"
)

// chaosSeeds is how many seeds every test run goes through.
const chaosSeeds = 40

// TestChaos runs a fixed set of seeds through random faults.
func TestChaos(t *testing.T) {
	for seed := uint64(1); seed <= chaosSeeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			result := Chaos(DefaultConfig(seed))
			for _, found := range result.Violations {
				t.Error(found)
			}
			t.Logf("%d requests, %d answered, %d steps", result.Requests, result.Answered, result.Steps)
		})
	}
}
