// Package watchcache keeps this node's copies of the object kinds that every node
// watches, either by reading the metadata store or by following a node that reads it.
//
// Few nodes read the store. The nodes of an area (the deployment where it is small
// enough, else a region or a zone) rank one another, and all follow the first in rank,
// the reader. It lists and watches, and answers the polls of the others from its copies.
// A node that is polled reads the store, so the nodes need not agree on the ranking. In a
// zone with more nodes than one can answer, the followers form a tree below the reader.
// Each reply carries the age of the copies, so stale copies passed down the tree don't
// count as fresh.
//
// # State
//
// Source runs in one of two modes. Following, it polls its parent; reading, it runs an
// Informer for each kind and probes the store. Its state is split by owner:
//   - Cache: the copy of one kind and its recent history
//   - readMode: whether this node reads, and until when at least
//   - exclusions: nodes and areas that are not followed for a time
//   - pollHistory: what the polls of the current outage have shown
//   - storeHealth: whether the store answers this node
//   - freshness: when the copies were last known to be current
//   - answeringPeer: a node that the store answers
//
// The rules are pure functions: positionOf decides whether a node follows and whom,
// decideAfterPoll whether it stays with its parent or reads the store itself, timingOf
// how long a poll is held and waited for.
//
// # Guarantees
//
// A copy only moves forward, by the store's revision. A follower whose parent is silent
// or unsure of the store turns to the next in rank, and reads the store itself once its
// copies are older than staleAge (if its position allows it) or criticalAge (always).
//
// The package relies on the store's order of revisions, on the list of peers, and on a
// clock that also counts while the machine is suspended.
package watchcache
