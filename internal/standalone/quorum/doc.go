// Package quorum keeps two small replicated tables on a few member nodes in
// different zones: claims, which let a request marked unsafe to repeat be
// dispatched at most once, and registers, which decide one value for ever.
// Both need a majority of the members of a view. Views are numbered by
// epochs, decided by a conditional write to the object API.
//
// Invariant: a member serves epoch e+1 only after it has sealed a majority of
// the members of epoch e and copied what they hold. A sealed member grants
// nothing in an older epoch, so whatever a majority granted in epoch e is
// known to every member that serves e+1. A seat belongs to a memory, not to a
// place: a data folder keeps its identity over restarts, and a member without
// one has the identity of its process. A machine that comes back empty has
// another identity, is in no view, and does not vote.
package quorum
