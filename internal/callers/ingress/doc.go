// Package ingress is the HTTP handler of a node towards callers.
//
// It finds the route of a request, authenticates the caller, reads the body within the
// limits in force, hands the request to the forwarder or to the batch jobs, and writes
// the answer. refusalOf maps each cause of an answer by this node to its status, text
// and Retry-After.
//
// It owns the memory of the bodies in progress and the counts of requests by which a
// node drains. It relies on the configuration in the directory's current view and on
// Headers for the names on the wire. net/http serves it, since that library ends a
// request's context as soon as its caller leaves.
package ingress
