// Package wire is the protocol between nodes: typed messages, their Cap'n
// Proto encoding (see schema/peer.capnp) and length-prefixed frames of bounded
// size. It knows nothing of connections.
package wire
