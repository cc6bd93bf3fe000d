// Package schema is generated from peer.capnp, the Cap'n Proto schema of the messages between
// nodes. Only package wire uses it.
package schema
