// Package peering keeps a node's table of its peers and exchanges heartbeats with them.
//
// When a node starts, it writes its entry to the metadata store and learns of the other
// nodes from a seed or from the store's entries. While the store is unavailable, it retries
// this, and meanwhile learns of other nodes from the seeds' replies to join requests.
// Afterwards the table is kept current as a sink of package watchcache.
//
// Only an active node sends heartbeats: one that runs batch jobs or holds the duty lease.
// It sends them to the other active peers and to a few chosen targets, so that their number
// doesn't depend on the number of nodes. Rare changes go to all peers in a small
// deployment, and to the nodes concerned in a large one.
//
// The package keeps the table of peers, the seeds and the time of the last heartbeat. The
// content of heartbeats belongs to the packages that fill it in. It relies on the store for
// entries and on the transport for messages.
//
// A peer leaves the table only when its entry is removed from the store. A silent peer
// stays in the table, and the caller checks its LastHeartbeat. A heartbeat of an earlier
// process of a node never replaces what is known of a later one.
package peering
