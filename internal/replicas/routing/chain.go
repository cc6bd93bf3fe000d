package routing

// Chain is a list of filters that are evaluated in order.
type Chain []Filter

// Allow reports whether every filter allows the endpoint.
func (c Chain) Allow(query *Query, endpoint *Endpoint) bool {
	return c.firstRefusal(query, endpoint) < 0
}

// Refuse returns the reason of the first filter that refuses the endpoint, and false if no
// filter does.
func (c Chain) Refuse(query *Query, endpoint *Endpoint) (Reason, bool) {
	index := c.firstRefusal(query, endpoint)
	if index < 0 {
		return "", false
	}
	return c[index].Reason(), true
}

// Explain returns the reason why none of the endpoints is allowed. If the endpoints are refused
// by different filters, it is the reason of the filter that is evaluated last, where an endpoint
// counts only for the first filter that refuses it. Explain returns ReasonUnavailable if no
// endpoint is refused.
func (c Chain) Explain(query *Query, endpoints []*Endpoint) Reason {
	last := -1
	for _, endpoint := range endpoints {
		last = max(last, c.firstRefusal(query, endpoint))
	}
	if last < 0 {
		return ReasonUnavailable
	}
	return c[last].Reason()
}

// firstRefusal returns the index of the first filter that refuses the endpoint, or -1.
func (c Chain) firstRefusal(query *Query, endpoint *Endpoint) int {
	for index, filter := range c {
		if !filter.Allow(query, endpoint) {
			return index
		}
	}
	return -1
}
