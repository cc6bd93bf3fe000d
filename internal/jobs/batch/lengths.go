package batch

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
)

// lengthMemory is for how long the lengths of items are kept that a job ended
// without. Trainers send such items again with one of their next jobs.
const lengthMemory = 60 * time.Second

// knownLength is what earlier runs of an item have shown of its length, and when.
type knownLength struct {
	placement.Length
	at time.Time
}

// expectedEvents is how many events earlier runs let expect of an item, 0 where
// there were none. The mutex must be held.
func (s *Service) expectedEvents(id string) int {
	if length, known := s.lengths[id]; known {
		return length.Expected()
	}
	return 0
}

// seen is how many events an item's runs have made. The service's mutex must be
// held.
func (i *item) seen() int {
	if i.running == nil {
		return i.events
	}
	return max(i.events, i.running.after+int(i.running.events.Load()))
}

// keepLengths remembers, when a job ends, the lengths of the items of groups
// that are not whole, to be told to the other nodes. The mutex must be held.
func (s *Service) keepLengths(ended *job) {
	for _, left := range ended.items {
		if left.group.open == 0 || left.seen() == 0 {
			continue
		}
		length := knownLength{Length: placement.Length{Events: left.seen(), Whole: left.done}, at: time.Now()}
		s.lengths[left.ID] = length
		s.toldLengths = append(s.toldLengths, toldLength{item: left.ID, length: length})
	}
}

// toldLength is a length that this node tells the others of.
type toldLength struct {
	item   string
	length knownLength
}

// recentLengths are the lengths to be told in a heartbeat. The mutex must be
// held.
func (s *Service) recentLengths() []wire.ItemLength {
	var recent []wire.ItemLength
	kept := s.toldLengths[:0]
	for _, told := range s.toldLengths {
		if time.Since(told.length.at) < endMemory {
			kept = append(kept, told)
			recent = append(recent, wire.ItemLength{Item: told.item, Events: uint32(told.length.Events), Whole: told.length.Whole})
		}
	}
	s.toldLengths = kept
	return recent
}

// takeLengths learns the lengths that another node tells. The mutex must be
// held.
func (s *Service) takeLengths(told []wire.ItemLength) {
	for _, length := range told {
		s.lengths[length.Item] = knownLength{Length: placement.Length{Events: int(length.Events), Whole: length.Whole}, at: time.Now()}
	}
}

// evictLengths forgets old lengths. The mutex must be held.
func (s *Service) evictLengths() {
	maps.DeleteFunc(s.lengths, func(_ string, length knownLength) bool { return time.Since(length.at) > lengthMemory })
}
