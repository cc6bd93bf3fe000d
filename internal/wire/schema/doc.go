// Package schema holds the code that is generated from the schema of the peer
// messages, peer.capnp. Package wire alone uses it.
package schema
