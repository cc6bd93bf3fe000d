package rollout

import "github.com/pathtally/pathtally/internal/wire"

// repair writes further copies of the samples of open steps after a store has
// left or lost its disk, so that another failure does not lose them.
func (s *Scheduler) repair() {
	stores := s.usableStores()
	usable := map[string]bool{}
	for _, store := range stores {
		usable[storeKey(store)] = true
	}
	if !s.storesChanged(usable) {
		return
	}
	for _, step := range s.openSteps() {
		for _, current := range step.slots {
			if current.state == slotFilled && current.data != nil {
				s.repairSlot(current, usable)
			}
		}
	}
}

func (s *Scheduler) storesChanged(usable map[string]bool) bool {
	changed := len(usable) != len(s.lastStores)
	for key := range usable {
		changed = changed || !s.lastStores[key]
	}
	s.lastStores = usable
	return changed
}

func (s *Scheduler) repairSlot(current *slot, usable map[string]bool) {
	count := 0
	for key := range current.copies {
		if usable[key] {
			count++
		}
	}
	digest, index := current.digest, current.index
	for _, store := range s.storesFor(current.step.request.Step, index) {
		if count >= s.config.Stores.ReplicationFactor() {
			return
		}
		if current.copies[storeKey(store)] {
			continue
		}
		count++
		s.repairCopy(store, current, digest)
	}
}

func (s *Scheduler) repairCopy(store wire.Member, current *slot, digest uint64) {
	s.put(store, current.step.request.Step, current.index, digest, current.data, func(stored bool) {
		if stored && current.digest == digest {
			current.copies[storeKey(store)] = true
		}
	})
}
