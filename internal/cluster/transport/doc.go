// Package transport carries wire frames between nodes over TCP. Each node
// keeps at most one outgoing connection to a peer, with a bounded queue; a
// frame that finds it full is dropped, which callers see as a peer that does
// not answer. A reply is matched to its request by correlation id within the
// connection, so an id that is used again after a restart cannot be confused.
package transport
