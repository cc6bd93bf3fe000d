// Package watchcache keeps a node's copies of the kinds of objects that
// everybody watches. Few nodes read the metadata store: the nodes of an area,
// which is the deployment where it is small, a region or a zone, follow one of
// them, which lists and watches for all and answers their polls from its copies.
// Whoever is polled reads, so the nodes need not agree on who that is; they rank
// one another and so mostly do.
//
// In a zone with more nodes than one can answer the followers form a tree: a few
// follow the reader, the others follow these. Each answer tells how long ago a reader
// called the copies current, so that what is handed on cannot pass for new.
//
// A follower is never further behind than the time in which it notices that
// its reader is silent or unsure of the store. It then polls the next reader
// in rank, and soon after reads the store itself.
package watchcache
