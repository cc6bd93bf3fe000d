// Package routing picks the replica, or engine in the standalone stack, of a request.
//
// policy.go has the whole choice in one place: the filters in order, the scorers and
// their weights, and the two pickers. A Plan holds the endpoints that the configuration
// allows a service, traffic group or trainer. It is immutable and shared by all
// goroutines; a pick takes no lock and allocates nothing unless it fails.
//
// The package owns what a node knows of each endpoint between configurations
// (EndpointState): open dispatches, failures in a row, latency, load reports, the
// slow-start gate and whether its zone is evacuated. Others write that; picks read it.
//
// A pick guarantees that every filter allowed the endpoint at that moment. What must hold
// at the sending is checked again by package dispatch.
package routing
