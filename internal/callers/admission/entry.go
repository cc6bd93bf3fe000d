package admission

// entry is what becomes of a request that comes to a gate and is within its rate.
type entry string

const (
	// entryStopping refuses it, since the gate is stopped.
	entryStopping entry = "stopping"
	// entryAdmitted lets it start.
	entryAdmitted entry = "admitted"
	// entryQueued has it wait.
	entryQueued entry = "queued"
	// entryQueueFull has it wait in place of a less urgent waiter, or else refuses it.
	entryQueueFull entry = "queue full"
)

// decideEntry decides about a request by the numbers of those in flight and queued.
func decideEntry(bounds *Bounds, stopping bool, inFlight, queued int) entry {
	switch {
	case stopping:
		return entryStopping
	case inFlight < bounds.MaxInFlight && queued == 0:
		return entryAdmitted
	case queued >= bounds.MaxQueue:
		return entryQueueFull
	}
	return entryQueued
}
