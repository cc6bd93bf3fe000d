package routing

// EvacuationFilter refuses replicas in zones that nothing is to be sent to.
type EvacuationFilter struct{}

// Allow implements Filter.
func (EvacuationFilter) Allow(_ *Query, endpoint *Endpoint) bool { return !endpoint.State.Evacuated() }

// Reason implements Filter.
func (EvacuationFilter) Reason() Reason { return ReasonEvacuated }

// HomeFilter refuses replicas outside the regions that a request is bound to.
type HomeFilter struct{}

// Allow implements Filter.
func (HomeFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.Homes.Allows(endpoint.Region)
}

// Reason implements Filter.
func (HomeFilter) Reason() Reason { return ReasonOutsideHome }

// SlowStartFilter refuses replicas that warm up and bear no more requests now.
type SlowStartFilter struct{}

// Allow implements Filter. A live request takes what is allotted already. This look
// asks for no further allotment, as Open does: Plan.Pick asks only if no other replica
// is left, so that not every node that callers reach asks for one. Nor does a look for
// an item that runs already.
func (SlowStartFilter) Allow(query *Query, endpoint *Endpoint) bool {
	if query.Rollout && query.Waiting {
		return endpoint.State.SlowStart.Open()
	}
	return endpoint.State.SlowStart.Left() > 0
}

// Reason implements Filter.
func (SlowStartFilter) Reason() Reason { return ReasonSlowStart }
