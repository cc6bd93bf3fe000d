// Package forward forwards live requests to replicas and returns the responses.
//
// For each request it picks a replica (package routing), sends the request to
// it (package dispatch), and selects the next step after each event: a retry,
// a hedge (a second attempt while the first is slow), a wait for capacity, a
// response, or a refusal. The selection is a pure function: requestState.next
// for requests with a buffered response and streamState.next for streams.
// request and streamRequest execute the steps.
//
// Once answers of a service were late or rejected because of load, its requests with a latency
// objective pass serviceAdmission, which drives admission.ServiceQueue: they are sent, wait or
// are refused as it decides.
//
// The package keeps the requests in progress on this node, the admission control of each
// service and the state of the weighted round robin among a route's targets, all in memory. Each pick reads
// the directory's current view.
//
// Guarantees: a request that must not run twice is sent again only if no
// earlier attempt can have run; a RefusedError means that no replica has run
// the request; no attempt lasts past the deadline of its call.
package forward
