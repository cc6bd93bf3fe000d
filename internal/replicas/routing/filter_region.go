package routing

// EvacuationFilter refuses endpoints in evacuated zones.
type EvacuationFilter struct{}

// Allow implements Filter.
func (EvacuationFilter) Allow(_ *Query, endpoint *Endpoint) bool { return !endpoint.State.Evacuated() }

// Reason implements Filter.
func (EvacuationFilter) Reason() Reason { return ReasonEvacuated }

// HomeFilter refuses endpoints outside the allowed regions of the request.
type HomeFilter struct{}

// Allow implements Filter.
func (HomeFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.Homes.Allows(endpoint.Region)
}

// Reason implements Filter.
func (HomeFilter) Reason() Reason { return ReasonOutsideHome }
