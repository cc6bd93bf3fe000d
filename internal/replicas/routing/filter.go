package routing

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/homes"
)

// Query is what a pick has to know of a request.
type Query struct {
	// Zone is where the picking node is.
	Zone string
	// PrefixHash is the hash of the prompt's beginning.
	PrefixHash uint64
	// MinVersion is the least weight version allowed, 0 for any.
	MinVersion int64
	// Avoid names an engine that has just failed the request.
	Avoid string
	// Tried names the engines that have been sent the request before.
	Tried []string
	// Objective is the time within which an answer is wanted, 0 for none.
	Objective time.Duration
	// Random is a random number of the caller's.
	Random uint64
	// Rollout is true for samples, false for live requests.
	Rollout bool
	// Waiting is true for samples that wait for an engine, false for those that run.
	Waiting bool
	// MaxLoadShare bounds the load of an engine as a multiple of its slots,
	// 0 for no bound.
	MaxLoadShare float64
	// Homes are the regions in which the request may be served.
	Homes homes.Set
}

// Filter decides whether an engine may be picked.
type Filter interface {
	Allow(query *Query, endpoint *Endpoint) bool
	// Reason is why the filter refuses.
	Reason() Reason
}

// RoleFilter keeps rollouts and live requests to engines of their role.
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

// AvailableFilter refuses engines that leave or do not answer.
type AvailableFilter struct{}

// Allow implements Filter.
func (AvailableFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return !endpoint.Excluded() && endpoint.Name != query.Avoid && !slices.Contains(query.Tried, endpoint.Name)
}

// Reason implements Filter.
func (AvailableFilter) Reason() Reason { return ReasonUnavailable }

// VersionFilter refuses engines on weights older than the request allows.
type VersionFilter struct{}

// Allow implements Filter.
func (VersionFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return endpoint.Version() >= query.MinVersion
}

// Reason implements Filter.
func (VersionFilter) Reason() Reason { return ReasonVersion }

// CapacityFilter refuses engines whose load is at the bound.
type CapacityFilter struct{}

// Allow implements Filter.
func (CapacityFilter) Allow(query *Query, endpoint *Endpoint) bool {
	return query.MaxLoadShare == 0 || float64(endpoint.Load()) < query.MaxLoadShare*float64(endpoint.Slots)
}

// Reason implements Filter.
func (CapacityFilter) Reason() Reason { return ReasonFull }
