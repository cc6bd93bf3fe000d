package routing

import "slices"

// Filter decides whether an endpoint may be picked. The filter chains are defined in
// policy.go.
type Filter interface {
	Allow(query *Query, endpoint *Endpoint) bool
	// Reason returns why the filter refuses endpoints.
	Reason() Reason
}

// RoleFilter refuses endpoints that do not take the query's kind of work: rollouts or live
// requests.
type RoleFilter struct{}

// Allow implements Filter.
func (RoleFilter) Allow(query *Query, endpoint *Endpoint) bool {
	if query.Rollout {
		return endpoint.TakesRollouts
	}
	return endpoint.TakesRequests
}

// Reason implements Filter.
func (RoleFilter) Reason() Reason { return ReasonRole }

// AvailableFilter refuses endpoints that take no new work or to which the request was
// already sent.
type AvailableFilter struct{}

// Allow implements Filter.
func (AvailableFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return !endpoint.Excluded() && endpoint.Name != query.Avoid && !slices.Contains(query.Tried, endpoint.Name)
}

// Reason implements Filter.
func (AvailableFilter) Reason() Reason { return ReasonUnavailable }

// VersionFilter refuses endpoints with an older weight version than the request allows.
type VersionFilter struct{}

// Allow implements Filter.
func (VersionFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return endpoint.Version() >= query.MinVersion
}

// Reason implements Filter.
func (VersionFilter) Reason() Reason { return ReasonVersion }

// CapacityFilter refuses endpoints whose load has reached Query.MaxLoadShare.
type CapacityFilter struct{}

// Allow implements Filter.
func (CapacityFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.MaxLoadShare == 0 || float64(endpoint.Load()) < query.MaxLoadShare*float64(endpoint.Slots)
}

// Reason implements Filter.
func (CapacityFilter) Reason() Reason { return ReasonFull }
