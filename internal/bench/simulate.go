package bench

import (
	"fmt"
	"runtime"
	"sync"

	"github.com/pathtally/pathtally/internal/standalone/sim"
)

// simulation runs the simulator with consecutive seeds.
type simulation struct {
	call    *invocation
	from    uint64
	seeds   uint64
	workers int
	trace   bool
	totals  *simTotals
}

// runSim runs the simulator with many seeds in parallel.
func runSim(call *invocation) error {
	simulated := &simulation{call: call, totals: newSimTotals()}
	call.flags.Uint64Var(&simulated.seeds, "seeds", 1000, "how many seeds")
	call.flags.Uint64Var(&simulated.from, "from", 1, "the first seed")
	call.flags.BoolVar(&simulated.trace, "trace", false, "print the trace of each run; for one seed")
	call.flags.IntVar(&simulated.workers, "workers", runtime.NumCPU(), "runs at the same time")
	if err := call.parse(); err != nil {
		return err
	}
	simulated.runSeeds()
	simulated.totals.report(call)
	if failed := len(simulated.totals.failed); failed > 0 {
		return &FailedError{Message: fmt.Sprintf("%d of %d seeds broke a promise", failed, simulated.seeds)}
	}
	return nil
}

// runSeeds runs all seeds and returns when the last one has ended.
func (s *simulation) runSeeds() {
	next := make(chan uint64)
	var running sync.WaitGroup
	for range s.workers {
		running.Go(func() {
			for seed := range next {
				s.totals.add(sim.Chaos(s.configFor(seed)))
			}
		})
	}
	stop := make(chan struct{})
	go s.totals.progress(s.call, s.seeds, stop)
	for seed := s.from; seed < s.from+s.seeds; seed++ {
		next <- seed
	}
	close(next)
	running.Wait()
	close(stop)
}

func (s *simulation) configFor(seed uint64) sim.Config {
	config := sim.DefaultConfig(seed)
	if s.trace {
		config.Print = func(line string) { fmt.Fprintln(s.call.stdout, line) }
	}
	return config
}
