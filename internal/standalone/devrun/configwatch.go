package devrun

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/process"
)

const configPollInterval = 20 * time.Millisecond

// configWatch records when each generation was accepted and when it was in force
// on every node, and whether any node ever went back.
type configWatch struct {
	nodes    func() []*process.Process
	mutex    sync.Mutex
	accepted map[uint64]time.Time
	newest   map[string]uint64
	slowest  time.Duration
	wentBack int
	highest  uint64
}

func newConfigWatch(nodes func() []*process.Process) *configWatch {
	return &configWatch{nodes: nodes, accepted: map[uint64]time.Time{}, newest: map[string]uint64{}}
}

// accept records a generation whose write has just been confirmed.
func (w *configWatch) accept(generation uint64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.accepted[generation] = time.Now()
	w.highest = max(w.highest, generation)
}

// run polls the nodes until stop is closed.
func (w *configWatch) run(stop <-chan struct{}) {
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.poll()
		case <-stop:
			w.poll()
			return
		}
	}
}

func (w *configWatch) poll() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	least := ^uint64(0)
	for _, node := range w.nodes() {
		generation := node.Generation()
		if generation < w.newest[node.Name()] {
			w.wentBack++
		}
		w.newest[node.Name()] = generation
		least = min(least, generation)
	}
	for generation, since := range w.accepted {
		if generation <= least {
			w.slowest = max(w.slowest, time.Since(since))
			delete(w.accepted, generation)
		}
	}
}

// summary also counts generations that never came into force everywhere.
func (w *configWatch) summary() ConfigSummary {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	slowest := w.slowest
	for _, since := range w.accepted {
		slowest = max(slowest, time.Since(since))
	}
	return ConfigSummary{Generations: w.highest, SlowestSeconds: slowest.Seconds(), WentBack: w.wentBack}
}
