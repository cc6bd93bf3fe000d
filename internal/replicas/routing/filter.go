package routing

import "slices"

// Filter decides whether an endpoint may be picked. The chains of filters are in
// policy.go.
type Filter interface {
	Allow(query *Query, endpoint *Endpoint) bool
	// Reason is why the filter refuses.
	Reason() Reason
}

// RoleFilter keeps rollouts and live requests to endpoints of their role.
type RoleFilter struct{}

// Allow implements Filter.
func (RoleFilter) Allow(query *Query, endpoint *Endpoint) bool {
	if query.Rollout {
		return endpoint.Rollouts
	}
	return endpoint.Serves
}

// Reason implements Filter.
func (RoleFilter) Reason() Reason { return ReasonRole }

// AvailableFilter refuses endpoints that take no new work, and those that the request was
// sent to before.
type AvailableFilter struct{}

// Allow implements Filter.
func (AvailableFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return !endpoint.Excluded() && endpoint.Name != query.Avoid && !slices.Contains(query.Tried, endpoint.Name)
}

// Reason implements Filter.
func (AvailableFilter) Reason() Reason { return ReasonUnavailable }

// VersionFilter refuses endpoints on weights older than the request allows.
type VersionFilter struct{}

// Allow implements Filter.
func (VersionFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return endpoint.Version() >= query.MinVersion
}

// Reason implements Filter.
func (VersionFilter) Reason() Reason { return ReasonVersion }

// CapacityFilter refuses endpoints whose load has reached the bound.
type CapacityFilter struct{}

// Allow implements Filter.
func (CapacityFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.MaxLoadShare == 0 || float64(endpoint.Load()) < query.MaxLoadShare*float64(endpoint.Slots)
}

// Reason implements Filter.
func (CapacityFilter) Reason() Reason { return ReasonFull }
