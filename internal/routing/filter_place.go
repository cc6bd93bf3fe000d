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

// Allow implements Filter.
func (SlowStartFilter) Allow(_ *Query, endpoint *Endpoint) bool {
	return endpoint.State.SlowStart.Open()
}

// Reason implements Filter.
func (SlowStartFilter) Reason() Reason { return ReasonSlowStart }
