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
		for _, held := range step.slots {
			if held.state == slotFilled && held.data != nil {
				s.repairSlot(held, usable)
			}
		}
	}
}

func (s *Scheduler) storesChanged(usable map[string]bool) bool {
	changed := len(usable) != len(s.lastStores)
	for name := range usable {
		changed = changed || !s.lastStores[name]
	}
	s.lastStores = usable
	return changed
}

func (s *Scheduler) repairSlot(held *slot, usable map[string]bool) {
	count := 0
	for name := range held.copies {
		if usable[name] {
			count++
		}
	}
	digest, index := held.digest, held.index
	for _, store := range s.storesFor(held.step.request.Step, index) {
		if count >= s.config.Stores.Copies() {
			return
		}
		if held.copies[storeKey(store)] {
			continue
		}
		count++
		s.repairCopy(store, held, digest)
	}
}

func (s *Scheduler) repairCopy(store wire.Member, held *slot, digest uint64) {
	s.put(store, held.step.request.Step, held.index, digest, held.data, func(stored bool) {
		if stored && held.digest == digest {
			held.copies[storeKey(store)] = true
		}
	})
}
