package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// knownEvents returns the number of events known of the item's text. The service's mutex
// must be held.
func (i *item) knownEvents() int {
	if i.currentRun == nil {
		return i.recordedEvents
	}
	return max(i.recordedEvents, i.currentRun.fromEvent+int(i.currentRun.events.Load()))
}

// recordLengths records the lengths of the items of incomplete groups when a job ends, to
// announce them to other nodes. The mutex must be held.
func (s *Service) recordLengths(ended *job) {
	for _, left := range ended.items {
		if left.group.open == 0 || left.knownEvents() == 0 {
			continue
		}
		s.lengths.Observe(left.ID, placement.Length{Events: left.knownEvents(), Complete: left.done}, time.Now())
	}
}
