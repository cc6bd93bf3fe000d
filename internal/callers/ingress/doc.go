// Package ingress is the HTTP front of a node towards callers: it finds the
// route of a request, reads it within the limits in force, hands it to the
// forwarder or to the batch jobs, and writes the answer. net/http serves it,
// since only that library tells a handler at once that its caller has left.
package ingress
