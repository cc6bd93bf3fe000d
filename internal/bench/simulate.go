package bench

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/sim"
)

const progressPeriod = 5 * time.Second

// simTotals sums the results of many seeds.
type simTotals struct {
	mutex    sync.Mutex
	done     int
	failed   []sim.Result
	faults   map[string]int
	requests int
	answered int
	steps    int
	broken   map[string]int
}

// runSim runs random faults from many seeds, several at a time.
func runSim(context *invocation) error {
	seeds := context.flags.Uint64("seeds", 1000, "how many seeds")
	from := context.flags.Uint64("from", 1, "the first seed")
	trace := context.flags.Bool("trace", false, "print the trace of each run; for one seed")
	workers := context.flags.Int("workers", runtime.NumCPU(), "runs at the same time")
	if err := context.flags.Parse(context.args); err != nil {
		return err
	}
	totals := &simTotals{faults: map[string]int{}, broken: map[string]int{}}
	next := make(chan uint64)
	var running sync.WaitGroup
	for range *workers {
		running.Go(func() {
			for seed := range next {
				config := sim.DefaultConfig(seed)
				if *trace {
					config.Print = func(line string) { fmt.Fprintln(context.stdout, line) }
				}
				totals.add(sim.Chaos(config))
			}
		})
	}
	stop := make(chan struct{})
	go totals.progress(context, *seeds, stop)
	for seed := *from; seed < *from+*seeds; seed++ {
		next <- seed
	}
	close(next)
	running.Wait()
	close(stop)
	totals.report(context)
	if len(totals.failed) > 0 {
		return &FailedError{What: fmt.Sprintf("%d of %d seeds broke a promise", len(totals.failed), *seeds)}
	}
	return nil
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
			t.broken[found.Promise]++
		}
		seen[found.Promise] = true
	}
}

func (t *simTotals) progress(context *invocation, seeds uint64, stop <-chan struct{}) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			t.mutex.Lock()
			fmt.Fprintf(context.stderr, "%d of %d seeds, %d failed\n", t.done, seeds, len(t.failed))
			t.mutex.Unlock()
		}
	}
}

func (t *simTotals) report(context *invocation) {
	fmt.Fprintf(context.stdout, "%d seeds: %d requests, %d answered, %d steps trained\n", t.done, t.requests, t.answered, t.steps)
	total := 0
	for _, kind := range sim.Kinds() {
		fmt.Fprintf(context.stdout, "  %6d  %s\n", t.faults[kind], kind)
		total += t.faults[kind]
	}
	fmt.Fprintf(context.stdout, "  %6d  faults in all\n", total)
	for promise, count := range t.broken {
		fmt.Fprintf(context.stdout, "BROKEN in %d seeds: %s\n", count, promise)
	}
	slices.SortFunc(t.failed, func(a, b sim.Result) int { return int(a.Seed) - int(b.Seed) })
	for _, result := range t.failed {
		fmt.Fprintf(context.stdout, "seed %d: %v (and %d more); replay: go run ./cmd/pathtally-bench sim -seeds 1 -from %d -trace\n",
			result.Seed, result.Violations[0], len(result.Violations)-1, result.Seed)
	}
}
