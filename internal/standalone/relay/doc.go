// Package relay spreads versioned documents, such as the configuration, from
// the few nodes that read the object API to all others. Probes name the
// versions held; whoever is behind pulls the changes since its own version
// from whoever is ahead. A version never goes back.
package relay
