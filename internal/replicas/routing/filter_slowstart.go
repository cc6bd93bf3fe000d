package routing

// SlowStartFilter refuses replicas that are warming up and have no permit left.
type SlowStartFilter struct{}

// Allow implements Filter. A waiting item that finds the gate closed has this node ask
// for an allotment. Live requests and running items do not: Plan.Pick asks for them only
// if no other replica is left, so that not every node that callers reach asks for one.
func (SlowStartFilter) Allow(query *Query, endpoint *Endpoint) bool {
	if query.Rollout && query.Waiting {
		return endpoint.State.SlowStart.Open()
	}
	return endpoint.State.SlowStart.PermitsLeft() > 0
}

// Reason implements Filter.
func (SlowStartFilter) Reason() Reason { return ReasonSlowStart }
