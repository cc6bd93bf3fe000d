// Package wire is the protocol between nodes: typed messages, their Cap'n Proto encoding
// (schema/peer.capnp) and length-prefixed frames of bounded size. It holds no state and
// knows nothing of connections, which are transport's.
//
// Messages cross builds, so they only gain fields: a field that is absent reads as zero, and
// zero means what earlier builds did (docs/design/upgrades.md). The files of testdata/builds
// hold frames written by earlier builds, and a test decodes them.
//
// The Go types are named as in the schema. Metrics name a message by its type (KindOf), so
// the names of messages stay. Those of a node on a metadata store are in heartbeat.go,
// jobs.go, watch.go, storecall.go, usage.go, permit.go and crash.go; membership.go,
// documents.go, engine_load.go, claims.go and samples.go are the standalone stack's.
//
// Decoding errors are *FrameError; a peer's refusal is a Failure, which transport returns as
// *RemoteError.
package wire
