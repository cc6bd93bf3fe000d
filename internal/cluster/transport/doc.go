// Package transport carries wire frames between nodes over TCP.
//
// A node keeps at most one outgoing connection to each peer, opened by the first message,
// with a bounded queue. Requests and one-way messages go out on it, and the replies to the
// requests come back on it. A frame that finds the queue full is dropped, which the caller
// sees as a peer that doesn't answer.
//
// The package owns the connections, their queues and the open requests. Every request ends
// exactly once: with its reply, with the peer's error, or with environment.ErrPeerUnreachable
// after its timeout or when the connection breaks. Replies are matched by a correlation id
// that is unique within a connection, so an id reused after a restart can't be confused.
package transport
