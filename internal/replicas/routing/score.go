package routing

// Scorer rates an engine for a request; greater is better.
type Scorer interface {
	Score(query *Query, endpoint *Endpoint) float64
}

// Weights of the scores against one full batch of load.
const (
	zoneWeight     = 0.15
	affinityWeight = 0.4
	failureWeight  = 0.5
	latencyWeight  = 0.5
)

// easyLatency is the part of the objective, between 0 and 1, up to which all answers
// count as equally fast: shorter times differ by chance, and each change of the replica
// may take a new connection.
const easyLatency = 0.25

// worstLatency bounds what a slow engine is marked down by, as a multiple of
// the objective.
const worstLatency = 2.0

// LatencyScorer avoids engines whose answers take long against the request's
// objective.
type LatencyScorer struct{}

// Score implements Scorer.
func (LatencyScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if query.Objective <= 0 {
		return 0
	}
	took := float64(endpoint.State.Latency.Estimate()) / float64(query.Objective)
	return -latencyWeight * max(0, min(worstLatency, took)-easyLatency)
}

// LoadScorer prefers engines with free slots.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Query, endpoint *Endpoint) float64 {
	return -float64(endpoint.Load()) / float64(endpoint.Slots)
}

// ZoneScorer prefers engines of the node's own zone.
type ZoneScorer struct{}

// Score implements Scorer.
func (ZoneScorer) Score(query *Query, endpoint *Endpoint) float64 {
	if endpoint.Zone == query.Zone {
		return zoneWeight
	}
	return 0
}

// FailureScorer avoids engines that have failed this node lately.
type FailureScorer struct{}

// Score implements Scorer.
func (FailureScorer) Score(_ *Query, endpoint *Endpoint) float64 {
	return -failureWeight * float64(endpoint.State.Failures.Load())
}
