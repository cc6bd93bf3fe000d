package rollout

// manifestCopies are the copies of one manifest that stores are given.
type manifestCopies struct {
	scheduler *Scheduler
	step      uint64
	value     []byte
	digest    uint64
	holders   map[string]bool
	// done is called once there are enough.
	done func()
}

// spread puts the manifest on as many more stores as it needs.
func (m *manifestCopies) spread() {
	chosen := m.scheduler.storesLacking(m.step, manifestSlot, m.holders)
	waiting := len(chosen)
	if waiting == 0 {
		m.again()
		return
	}
	for _, store := range chosen {
		m.scheduler.put(store, m.step, manifestSlot, m.digest, m.value, func(stored bool) {
			waiting--
			if stored {
				m.holders[copyName(store)] = true
			}
			if waiting == 0 && !m.scheduler.stopped {
				m.judge()
			}
		})
	}
}

// judge ends the work once there are enough copies.
func (m *manifestCopies) judge() {
	if len(m.holders) >= m.scheduler.config.Stores.Copies() {
		m.done()
		return
	}
	m.again()
}

func (m *manifestCopies) again() { m.scheduler.later(slotRetry, m.spread) }
