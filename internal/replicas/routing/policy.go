package routing

// How a replica is chosen for an attempt, in order:
//
//  1. The Plan: the endpoints that the configuration allows. Package forward takes the
//     plan of the route's target whose turn it is, then those of its other targets.
//  2. The filters: RequestChain for live requests, ItemChain for items.
//  3. The scorers: the sum of requestScorers, and affinityWeight for the endpoint whose
//     cache should hold the prompt's beginning. The greatest score wins.
//  4. The picker, which decides how many endpoints are compared: NewRankedPlan compares
//     the first in this node's order, NewPlan a few drawn at random.
//  5. At the sending, in package dispatch: the quarantine guard, the evacuation again, and
//     the permit of the replica's slow start.

// RequestChain is the filters of live requests. Requests of the users' stack name neither
// a version nor a load bound, so that VersionFilter and CapacityFilter allow them all.
var RequestChain = Chain{
	RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, HomeFilter{}, VersionFilter{}, SlowStartFilter{}, CapacityFilter{},
}

// ItemChain is the filters of items of batch jobs. Weights and slots are left to package
// placement, which knows more of them than the endpoints do.
var ItemChain = Chain{RoleFilter{}, AvailableFilter{}, EvacuationFilter{}, HomeFilter{}, SlowStartFilter{}}

// requestScorers are the scorers of live requests.
var requestScorers = []Scorer{LoadScorer{}, ZoneScorer{}, FailureScorer{}, LatencyScorer{}}

// Weights of the scores. One unit is a replica whose slots are all taken.
const (
	// zoneWeight is added for a replica in the node's zone.
	zoneWeight = 0.15
	// affinityWeight is added for the replica whose cache should hold the prompt.
	affinityWeight = 0.4
	// failureWeight is taken off for each failure in a row.
	failureWeight = 0.5
	// latencyWeight is taken off for each multiple of the objective that answers take
	// beyond toleratedLatency.
	latencyWeight = 0.5
)

const (
	// toleratedLatency is the part of the objective, between 0 and 1, up to which all
	// replicas count as equally fast: shorter times differ by chance, and changing the
	// replica may cost a new connection.
	toleratedLatency = 0.25
	// maxLatency bounds the latency that counts, as a multiple of the objective.
	maxLatency = 2.0
)

const (
	// subsetSize is how many allowed replicas of a ranked plan are compared, the
	// first in rank. Few, so that requests find kept connections.
	subsetSize = 4
	// subsetMaxUse is the share of its slots, between 0 and 1, that the best of these
	// may have taken before further replicas are compared too.
	subsetMaxUse = 0.25
	// localDraws and anyDraws are how many candidates of a plan that is not ranked are
	// drawn at random, from the node's zone and from all.
	localDraws = 2
	anyDraws   = 2
)
