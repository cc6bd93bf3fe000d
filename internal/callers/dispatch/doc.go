// Package dispatch makes single attempts: it sends a request to one replica and validates
// the response, that is, whether the replica ran the request, whether the response belongs
// to the request, and whether it is signed. Live requests (package forward) and items of
// batch jobs (package batch) are sent through it.
//
// Before sending, Send checks again what may have changed since the replica was picked: the
// guard (package quarantine), then whether the zone of the replica is evacuated, then
// whether a slow-start permit of the replica is available.
//
// The package is stateless. It counts the requests in flight and the consecutive failures in
// the state of the endpoint, and stores the reported load there. A HeaderCodec encodes and decodes the headers on the wire, and an
// exchange.Pool provides connections.
//
// Guarantees: if MayHaveRun is false for an error, the replica did not run the request and
// will not; the package never retries.
package dispatch
