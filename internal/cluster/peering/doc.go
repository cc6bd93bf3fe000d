// Package peering keeps a node's table of its peers and exchanges heartbeats with them.
//
// A node writes an entry of itself to the metadata store when it starts, and learns of the
// others from a seed, from the store's entries, or while the store is unavailable by
// greeting the seeds. Afterwards the table is kept current as a sink of package watchcache.
//
// Only a node that has something to report sends heartbeats: one that runs batch jobs or
// holds the duty lease. They go to the active peers, which do the same, and to a few
// watchers, so that their number doesn't depend on the number of nodes. Rare changes go to
// all peers in a small deployment, and to the nodes concerned in a large one.
//
// The package owns the table of peers, the seeds and the time of the last heartbeat. The
// content of heartbeats belongs to the packages that fill it in. It relies on the store for
// entries and on the transport for messages.
//
// A peer leaves the table only when its entry is removed from the store; a silent peer
// stays, and the caller judges its LastHeartbeat. A heartbeat of an older process of a node
// never replaces what is known of a newer one.
package peering
