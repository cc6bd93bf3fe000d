package routing

// Scorer rates an endpoint for a request; greater is better. The weights are in
// policy.go.
type Scorer interface {
	Score(query *Query, endpoint *Endpoint) float64
}

// LoadScorer prefers endpoints with free slots.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Query, endpoint *Endpoint) float64 {
	return -float64(endpoint.Load()) / float64(endpoint.Slots)
}

// ZoneScorer prefers endpoints of the node's own zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if endpoint.Zone == query.Zone {
		return zoneWeight
	}
	return 0
}

// FailureScorer avoids endpoints whose newest dispatches from this node failed.
type FailureScorer struct{}

// Score implements Scorer.
func (FailureScorer) Score(_ *Query, endpoint *Endpoint) float64 {
	return -failureWeight * float64(endpoint.State.Failures.Load())
}

// LatencyScorer avoids endpoints whose answers take long against the request's objective.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if query.Objective <= 0 {
		return 0
	}
	took := float64(endpoint.State.Latency.Estimate()) / float64(query.Objective)
	return -latencyWeight * max(0, min(maxLatency, took)-toleratedLatency)
}
