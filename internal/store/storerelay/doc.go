// Package storerelay makes calls to the metadata store through another node while the store
// refuses this one.
//
// A Relay is an objectstore.Store on top of this node's direct connection to the store.
// While direct calls fail, it sends calls to a helper: a node to which the store is
// available, and which makes the call on its own direct connection only, so that a call
// makes at most one hop.
//
// The package keeps which helpers have recently failed or succeeded, and which large calls
// are in flight. It relies on package watchcache to name a peer to which the store is
// available.
//
// Errors keep their meaning through a helper: after an *objectstore.RefusedError the call
// has not taken effect, after an *objectstore.UnansweredError it may have or may still do
// so. The package never retries a call without a response. A call that carries a request
// body is only sent to nodes in its allowed regions (package residency).
package storerelay
