package routing

// The replica for an attempt is chosen in these steps:
//
//  1. The Plan: the endpoints that the configuration allows. Package forward selects one of
//     the route's targets by weight and tries its plan first, then those of the others.
//  2. The filters: RequestChain for live requests, ItemChain for items.
//  3. The scorers: the sum of requestScorers, plus affinityWeight for the endpoint whose
//     cache is expected to hold the beginning of the prompt. The highest score wins.
//  4. The candidates: plans of NewRankedPlan compare the first endpoints in this node's
//     order, plans of NewPlan a few chosen at random.
//  5. Before sending, in package dispatch: the quarantine guard, the evacuation again, and
//     the slow-start permit of the replica.

// RequestChain is the filter chain for live requests. Where requests specify neither a
// version nor a load limit, VersionFilter and CapacityFilter allow every endpoint.
var RequestChain = Chain{
	RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, RegionFilter{}, VersionFilter{}, SlowStartFilter{}, CapacityFilter{},
}

// ItemChain is the filter chain for items of batch jobs. Weight versions and free slots are
// checked by the batch scheduler, which has more recent information about them.
var ItemChain = Chain{RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, RegionFilter{}, SlowStartFilter{}}

// requestScorers are the scorers of live requests.
var requestScorers = []Scorer{LoadScorer{}, ZoneScorer{}, FailureScorer{}, LatencyScorer{}}

// Weights of the scores. 1 is the difference between an idle replica and one whose slots are
// all in use.
const (
	// zoneWeight is added for a replica in the node's zone.
	zoneWeight = 0.15
	// affinityWeight is added for the replica whose cache is expected to hold the prompt.
	affinityWeight = 0.4
	// failureWeight is subtracted for each consecutive failure.
	failureWeight = 0.5
	// latencyWeight is subtracted for each multiple of the objective by which the response
	// time exceeds toleratedLatencyFraction.
	latencyWeight = 0.5
)

const (
	// toleratedLatencyFraction is the fraction of the objective up to which all replicas
	// count as equally fast. Smaller differences are noise, and switching replicas may cost
	// a new connection.
	toleratedLatencyFraction = 0.25
	// maxLatencyRatio bounds the latency in the score, as a multiple of the objective.
	maxLatencyRatio = 2.0
	// reportedLoadWeight is the weight of a reported request that this node does not know of,
	// relative to one of its own. At 1, replicas whose report has expired look idle beside the
	// others, and a slow one got up to twice the work (docs/design/reported-load.md).
	reportedLoadWeight = 0.125
)

const (
	// subsetSize is how many of the first allowed replicas of a ranked plan are compared.
	// It is small so that requests reuse connections.
	subsetSize = 4
	// subsetMaxUtilization is the utilization, between 0 and 1, of the best replica so far
	// from which further replicas are compared. It counts the requests that this node knows of.
	subsetMaxUtilization = 0.25
	// localSamples and globalSamples are how many candidates of an unranked plan are chosen at
	// random from the node's zone and from all zones.
	localSamples  = 2
	globalSamples = 2
)
