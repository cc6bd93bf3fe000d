package bench

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/sim"
)

// progressInterval is the time between two progress lines.
const progressInterval = 5 * time.Second

// simTotals sums up the results of many seeds. It is safe for concurrent use until report.
type simTotals struct {
	mutex    sync.Mutex
	done     int
	failed   []sim.Result
	faults   map[string]int
	requests int
	answered int
	steps    int
	// violations counts, by invariant, the seeds that violated it.
	violations map[string]int
}

func newSimTotals() *simTotals {
	return &simTotals{faults: map[string]int{}, violations: map[string]int{}}
}

func (t *simTotals) add(result sim.Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.done++
	t.requests += result.Requests
	t.answered += result.Answered
	t.steps += result.Steps
	for kind, count := range result.Faults {
		t.faults[kind] += count
	}
	if len(result.Violations) > 0 {
		t.failed = append(t.failed, result)
	}
	seen := map[string]bool{}
	for _, found := range result.Violations {
		if !seen[found.Promise] {
			t.violations[found.Promise]++
		}
		seen[found.Promise] = true
	}
}

func (t *simTotals) progress(call *invocation, seeds uint64, stop <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			t.mutex.Lock()
			fmt.Fprintf(call.stderr, "%d of %d seeds, %d failed\n", t.done, seeds, len(t.failed))
			t.mutex.Unlock()
		}
	}
}

func (t *simTotals) report(call *invocation) {
	fmt.Fprintf(call.stdout, "%d seeds: %d requests, %d answered, %d steps trained\n", t.done, t.requests, t.answered, t.steps)
	total := 0
	for _, kind := range sim.Kinds() {
		fmt.Fprintf(call.stdout, "  %6d  %s\n", t.faults[kind], kind)
		total += t.faults[kind]
	}
	fmt.Fprintf(call.stdout, "  %6d  faults in all\n", total)
	for promise, count := range t.violations {
		fmt.Fprintf(call.stdout, "BROKEN in %d seeds: %s\n", count, promise)
	}
	slices.SortFunc(t.failed, func(a, b sim.Result) int { return int(a.Seed) - int(b.Seed) })
	for _, result := range t.failed {
		fmt.Fprintf(call.stdout, "seed %d: %v (and %d more); replay: go run ./cmd/pathtally-bench sim -seeds 1 -from %d -trace\n",
			result.Seed, result.Violations[0], len(result.Violations)-1, result.Seed)
	}
}
