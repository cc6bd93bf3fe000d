package routing

// Scorer rates an endpoint for a request. Higher scores are better. The weights are defined
// in policy.go.
type Scorer interface {
	Score(query *Query, endpoint *Endpoint) float64
}

// LoadScorer prefers endpoints with free slots.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(query *Query, endpoint *Endpoint) float64 {
	load := float64(endpoint.knownLoad())
	if excess := endpoint.reportedExcess(); excess > 0 {
		load += reportedLoadWeight * reportFraction(query, endpoint) * min(float64(excess), float64(endpoint.Slots))
	}
	return -load / float64(endpoint.Slots)
}

// ZoneScorer prefers endpoints in the node's zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if endpoint.Zone == query.Zone {
		return zoneWeight
	}
	return 0
}

// FailureScorer avoids endpoints at which the most recent requests of this node failed.
type FailureScorer struct{}

// Score implements Scorer.
func (FailureScorer) Score(_ *Query, endpoint *Endpoint) float64 {
	return -failureWeight * float64(endpoint.State.Failures.Load())
}

// LatencyScorer avoids endpoints whose response times are long relative to the request's
// objective, or will be because of the slowdown that they report.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if query.Objective <= 0 {
		return 0
	}
	took := float64(endpoint.State.Latency.Estimate())
	if excess := endpoint.State.Latency.reportedExcess(); excess > 0 {
		took += reportFraction(query, endpoint) * float64(excess)
	}
	took /= float64(query.Objective)
	return -latencyWeight * max(0, min(maxLatencyRatio, took)-toleratedLatencyFraction)
}
