package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// seen is how many events an item's runs have made. The service's mutex must be
// held.
func (i *item) seen() int {
	if i.running == nil {
		return i.events
	}
	return max(i.events, i.running.after+int(i.running.events.Load()))
}

// recordLengths remembers, when a job ends, the lengths of the items of groups that are
// not whole, to be announced to the other nodes. The mutex must be held.
func (s *Service) recordLengths(ended *job) {
	for _, left := range ended.items {
		if left.group.open == 0 || left.seen() == 0 {
			continue
		}
		s.lengths.Observe(left.ID, placement.Length{Events: left.seen(), Complete: left.done}, time.Now())
	}
}
