// Package dispatch sends one request once to one replica and judges the answer: whether
// the replica ran the request, whether the answer belongs to it, and whether it is signed.
// Live requests (package forward) and items of batch jobs (package batch) go through it.
//
// Send is the last check before a replica gets a request, since what a pick found may
// have changed: the guard (package quarantine), then admit: the evacuation of the zone and
// a permit of the replica's slow start.
//
// The package owns no state. It counts open dispatches and failures in a row at the
// endpoint, and relies on Headers for the names on the wire and on an exchange.Pool for
// connections. It guarantees that an error for which MayHaveRun is false means that the
// replica did not and will not run the request, and never repeats anything itself.
package dispatch
