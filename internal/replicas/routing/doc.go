// Package routing picks the replica for a request, or the engine in the standalone stack.
//
// policy.go defines the routing policy: the order of the filters, the scorers and their
// weights, and the two ways of selecting candidates. A Plan holds the endpoints that the
// configuration allows for a service, traffic group or trainer. It is immutable and shared
// by all goroutines. A pick takes no lock and does not allocate unless it fails.
//
// EndpointState is the state of an endpoint that outlives configuration changes: requests
// in flight, consecutive failures, latency, load reports, the slow-start gate and whether
// the zone is evacuated. Other packages write it; picks read it.
//
// All filters allow the picked endpoint at the time of the pick. Conditions that must still
// hold when the request is sent are checked again by package dispatch.
package routing
