package routing

// Chain is filters that are asked in order.
type Chain []Filter

// RequestChain decides which replicas a live request may go to.
var RequestChain = Chain{
	RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, HomeFilter{}, VersionFilter{}, SlowStartFilter{}, CapacityFilter{},
}

// ItemChain decides which replicas an item of a batch job may go to. Weights and
// slots are not its business: whoever places items knows more of them than the
// endpoints do.
var ItemChain = Chain{RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, HomeFilter{}, SlowStartFilter{}}

// Allow tells whether every filter allows a replica.
func (c Chain) Allow(query *Query, endpoint *Endpoint) bool {
	_, refused := c.Refuse(query, endpoint)
	return !refused
}

// Refuse returns the reason of the first filter that refuses a replica; false if
// none does.
func (c Chain) Refuse(query *Query, endpoint *Endpoint) (Reason, bool) {
	for _, filter := range c {
		if !filter.Allow(query, endpoint) {
			return filter.Reason(), true
		}
	}
	return "", false
}

// Explain returns the reason of the filter that refused the last of some replicas,
// none of which the chain allows.
func (c Chain) Explain(query *Query, endpoints []*Endpoint) Reason {
	last := -1
	for _, endpoint := range endpoints {
		for place, filter := range c {
			if !filter.Allow(query, endpoint) {
				last = max(last, place)
				break
			}
		}
	}
	if last < 0 {
		return ReasonUnavailable
	}
	return c[last].Reason()
}
