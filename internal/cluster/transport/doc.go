// Package transport carries wire frames between nodes over TCP.
//
// A node keeps at most one outgoing connection to each peer, opened by the first message,
// with a bounded queue. It sends requests and one-way messages on it and receives the
// replies to the requests. A frame that finds the queue full is dropped, so that the peer
// appears as one that doesn't reply.
//
// The package keeps the connections, their queues and the pending requests. Every request
// ends exactly once: with its reply, with the peer's error, or with
// environment.ErrPeerUnreachable after its timeout or when the connection breaks. Replies
// are matched by a correlation id that is unique within a connection, so that ids reused
// after a restart can't be confused.
package transport
