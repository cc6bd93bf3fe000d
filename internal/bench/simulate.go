package bench

import (
	"fmt"
	"runtime"
	"sync"

	"github.com/pathtally/pathtally/internal/standalone/sim"
)

// simulation is a search through successive seeds.
type simulation struct {
	call    *invocation
	from    uint64
	seeds   uint64
	workers int
	trace   bool
	totals  *simTotals
}

// runSim runs random faults from many seeds, several at a time.
func runSim(call *invocation) error {
	run := &simulation{call: call, totals: newSimTotals()}
	call.flags.Uint64Var(&run.seeds, "seeds", 1000, "how many seeds")
	call.flags.Uint64Var(&run.from, "from", 1, "the first seed")
	call.flags.BoolVar(&run.trace, "trace", false, "print the trace of each run; for one seed")
	call.flags.IntVar(&run.workers, "workers", runtime.NumCPU(), "runs at the same time")
	if err := call.flags.Parse(call.args); err != nil {
		return err
	}
	run.search()
	run.totals.report(call)
	if failed := len(run.totals.failed); failed > 0 {
		return &FailedError{What: fmt.Sprintf("%d of %d seeds broke a promise", failed, run.seeds)}
	}
	return nil
}

// search runs all seeds and returns when the last has ended.
func (s *simulation) search() {
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
