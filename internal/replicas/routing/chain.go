package routing

// Chain is filters that are asked in order.
type Chain []Filter

// Allow returns whether every filter allows an endpoint.
func (c Chain) Allow(query *Query, endpoint *Endpoint) bool { return c.refusedAt(query, endpoint) < 0 }

// Refuse returns the reason of the first filter that refuses an endpoint; false if
// none does.
func (c Chain) Refuse(query *Query, endpoint *Endpoint) (Reason, bool) {
	place := c.refusedAt(query, endpoint)
	if place < 0 {
		return "", false
	}
	return c[place].Reason(), true
}

// Explain returns the reason why none of some endpoints is allowed: that of the last
// filter in order that an endpoint came to. ReasonUnavailable if all are allowed.
func (c Chain) Explain(query *Query, endpoints []*Endpoint) Reason {
	last := -1
	for _, endpoint := range endpoints {
		last = max(last, c.refusedAt(query, endpoint))
	}
	if last < 0 {
		return ReasonUnavailable
	}
	return c[last].Reason()
}

// refusedAt returns the index of the first filter that refuses an endpoint, -1 for none.
func (c Chain) refusedAt(query *Query, endpoint *Endpoint) int {
	for place, filter := range c {
		if !filter.Allow(query, endpoint) {
			return place
		}
	}
	return -1
}
