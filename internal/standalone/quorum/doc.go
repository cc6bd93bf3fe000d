// Package quorum keeps two small replicated tables on a few member nodes in
// different zones. Claims let a request that is marked unsafe to repeat be
// dispatched at most once. Registers decide one value each. Both are kept for
// Retention and need a majority of the members of a view. Views are numbered by
// epochs and decided by a conditional write to the object API.
//
// Invariant: a member serves epoch e+1 only after it has sealed a majority of
// the members of epoch e and copied their tables. A sealed member grants nothing
// in an older epoch, so whatever a majority granted in epoch e is known to every
// member that serves e+1.
//
// A seat is bound to a storage identity, not to a node. A data folder keeps its
// identity over restarts; a member without one has the identity of its process.
// A node that restarts without its state has another identity, holds no seat in
// the view and does not vote.
package quorum
