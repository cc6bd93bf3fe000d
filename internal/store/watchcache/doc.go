// Package watchcache keeps local caches of the object kinds that every node watches, either
// by reading the metadata store or by following a node that reads it.
//
// Few nodes read the store. The nodes of an area (the deployment if it is small enough,
// else a region or a zone) rank one another, and all follow the first one, the reader. The
// reader lists and watches the kinds and replies to the other nodes' polls from its caches.
// A node that is polled reads the store, so the nodes need not agree on the ranking. In a
// zone with more nodes than one reader can serve, the followers form a tree below the
// reader.
//
// The reply to a poll tells the state of the polled node: current, unsure (the store is
// unavailable to it), starting or leaving. It also carries the age of the node's caches, so
// that stale caches are not passed down the tree as current.
//
// # State
//
// Source runs in one of two modes: it follows a parent, which it polls, or it reads the
// store, with an Informer for each kind and probes. Its state is split into:
//   - Cache: the objects of one kind and their recent history
//   - readMode: whether this node reads, and until when it has to
//   - exclusions: nodes and areas that are temporarily not followed
//   - pollHistory: what the polls of the last outage have shown
//   - storeHealth: whether the store is available to this node
//   - freshness: when the caches were last known to be current
//   - accessPeer: a peer to which the store is available
//
// The decisions are pure functions: positionOf selects the node to follow, decideAfterPoll
// decides whether to keep it or to read the store, and timingOf sets the hold and the
// timeout of a poll.
//
// # Guarantees
//
// The revision of a cache never decreases. A follower whose parent is silent or reports
// unsure switches to the next node in rank, and reads the store itself once its cache age
// exceeds staleAge (if its position allows it) or criticalAge (always).
//
// The package relies on the store's order of revisions, on the list of peers, and on a
// clock that advances while the machine is suspended.
package watchcache
