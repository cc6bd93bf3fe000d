package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// seen returns the number of events known of the item's text. The service's mutex must be
// held.
func (i *item) seen() int {
	if i.running == nil {
		return i.events
	}
	return max(i.events, i.running.after+int(i.running.events.Load()))
}

// recordLengths records the lengths of the items of incomplete groups when a job ends, to
// announce them to other nodes. The mutex must be held.
func (s *Service) recordLengths(ended *job) {
	for _, left := range ended.items {
		if left.group.open == 0 || left.seen() == 0 {
			continue
		}
		s.lengths.Observe(left.ID, placement.Length{Events: left.seen(), Complete: left.done}, time.Now())
	}
}
