package rollout

// manifestReplicator writes one manifest to the required number of stores.
type manifestReplicator struct {
	scheduler *Scheduler
	step      uint64
	value     []byte
	digest    uint64
	holders   map[string]bool
	// done is called once enough stores hold the manifest.
	done func()
}

// replicate writes the manifest to as many further stores as it needs.
func (r *manifestReplicator) replicate() {
	chosen := r.scheduler.storesWithoutCopy(r.step, manifestSlot, r.holders)
	waiting := len(chosen)
	if waiting == 0 {
		r.retry()
		return
	}
	for _, store := range chosen {
		r.scheduler.put(store, r.step, manifestSlot, r.digest, r.value, func(stored bool) {
			waiting--
			if stored {
				r.holders[storeKey(store)] = true
			}
			if waiting == 0 && !r.scheduler.stopped {
				r.checkCopies()
			}
		})
	}
}

// checkCopies calls done if enough stores hold the manifest, and retries
// otherwise.
func (r *manifestReplicator) checkCopies() {
	if len(r.holders) >= r.scheduler.config.Stores.ReplicationFactor() {
		r.done()
		return
	}
	r.retry()
}

func (r *manifestReplicator) retry() { r.scheduler.runAfter(slotRetryDelay, r.replicate) }
