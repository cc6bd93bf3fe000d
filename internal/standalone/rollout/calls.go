package rollout

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// runAfter runs call after the delay unless the scheduler is stopped by then.
func (s *Scheduler) runAfter(delay time.Duration, call func()) {
	s.config.Clock.AfterFunc(delay, func() {
		if !s.stopped {
			call()
		}
	})
}

// callStores sends a request to each store; stores must not be empty. It
// passes each successful response to take, and calls done after every store
// has responded or failed, unless the scheduler is stopped by then.
func (s *Scheduler) callStores(stores []wire.Member, request wire.Message, take func(store wire.Member, found *wire.Samples), done func()) {
	waiting := len(stores)
	for _, store := range stores {
		s.config.Peers.Call(store.Address, request, storeTimeout, func(message wire.Message, err error) {
			waiting--
			if found, ok := message.(*wire.Samples); err == nil && ok {
				take(store, found)
			}
			if waiting == 0 && !s.stopped {
				done()
			}
		})
	}
}

// sampleGet returns a request for samples of a step.
func (s *Scheduler) sampleGet(step *stepState, references []wire.SampleReference) *wire.SampleGet {
	return &wire.SampleGet{Trainer: s.config.Trainer, Step: step.request.Step, References: references}
}
