// Package storerelay makes calls to the metadata store through another node while the
// store refuses this one.
//
// A Relay is an objectstore.Store over this node's own connection to the store. While calls
// on that fail, it sends them to a helper: a node that the store answers, which makes the
// call on its own connection only, so that a call makes one hop at most.
//
// The package owns which helpers have lately failed or were answered, and which large calls
// are in flight. It relies on package watchcache to name a node that the store answers.
//
// Errors keep their meaning through a helper: after a *objectstore.RefusedError nothing was
// done, after an *objectstore.UnansweredError the call may have been done or may yet be. A
// call without an answer is never repeated here. A call that carries a body is only sent to
// nodes that may hold it (package homes).
package storerelay
