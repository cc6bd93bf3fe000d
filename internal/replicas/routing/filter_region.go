package routing

// EvacuationFilter refuses endpoints in evacuated zones.
type EvacuationFilter struct{}

// Allow implements Filter.
func (EvacuationFilter) Allow(_ *Query, endpoint *Endpoint) bool { return !endpoint.State.Evacuated() }

// Reason implements Filter.
func (EvacuationFilter) Reason() Reason { return ReasonEvacuated }

// RegionFilter refuses endpoints outside the allowed regions of the request.
type RegionFilter struct{}

// Allow implements Filter.
func (RegionFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.AllowedRegions.Allows(endpoint.Region)
}

// Reason implements Filter.
func (RegionFilter) Reason() Reason { return ReasonOutsideRegions }
