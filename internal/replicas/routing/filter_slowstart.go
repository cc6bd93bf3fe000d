package routing

// SlowStartFilter refuses replicas that are warming up if no permit is left.
type SlowStartFilter struct{}

// Allow implements Filter. For a waiting item, a refusal makes this node request permits.
// For live requests and running items, only Plan.Pick requests permits, and only if no other
// replica is eligible. Otherwise every node that receives requests would request permits.
func (SlowStartFilter) Allow(query *Query, endpoint *Endpoint) bool {
	if query.Rollout && query.Waiting {
		return endpoint.State.SlowStart.CheckPermit()
	}
	return endpoint.State.SlowStart.PermitsLeft() > 0
}

// Reason implements Filter.
func (SlowStartFilter) Reason() Reason { return ReasonSlowStart }
