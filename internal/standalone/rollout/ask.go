package rollout

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// later makes a call after a while, unless the scheduler has been stopped by
// then.
func (s *Scheduler) later(pause time.Duration, call func()) {
	s.config.Clock.AfterFunc(pause, func() {
		if !s.stopped {
			call()
		}
	})
}

// askStores sends a request to some stores, at least one. It hands on the samples
// of each that answers, and tells when all have answered or failed, unless the
// scheduler has been stopped by then.
func (s *Scheduler) askStores(stores []wire.Member, request wire.Message, take func(store wire.Member, found *wire.Samples), done func()) {
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

// sampleGet asks a store for samples of a step.
func (s *Scheduler) sampleGet(step *stepState, references []wire.SampleReference) *wire.SampleGet {
	return &wire.SampleGet{Trainer: s.config.Trainer, Step: step.request.Step, References: references}
}
