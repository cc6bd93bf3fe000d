package admission

// decision is what a Gate does with an arriving request that the rate limit allows.
type decision string

const (
	// decisionStopping refuses the request because the gate is stopped.
	decisionStopping decision = "stopping"
	// decisionAdmit admits the request at once.
	decisionAdmit decision = "admitted"
	// decisionQueue queues the request.
	decisionQueue decision = "queued"
	// decisionQueueFull queues the request in place of a waiter of lower priority, or
	// refuses it if there is none.
	decisionQueueFull decision = "queue full"
)

// decide returns the decision on a request, given the numbers of requests in flight and queued.
func decide(bounds *Bounds, stopping bool, inFlight, queued int) decision {
	switch {
	case stopping:
		return decisionStopping
	case inFlight < bounds.MaxInFlight && queued == 0:
		return decisionAdmit
	case queued >= bounds.MaxQueue:
		return decisionQueueFull
	}
	return decisionQueue
}
