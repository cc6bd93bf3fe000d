// Package wire defines the protocol between nodes: typed messages, their Cap'n Proto
// encoding (schema/peer.capnp) and length-prefixed frames of bounded size. It holds no state
// and manages no connections; package transport does.
//
// Nodes of different builds exchange messages, so fields are only ever added: an absent field
// decodes as zero, and zero stands for the behavior of earlier builds
// (docs/design/upgrades.md). A test decodes the frames of earlier builds in testdata/builds.
//
// Go types have the names of the schema. Metrics use the type names as label values (KindOf),
// so message types must not be renamed. Nodes on a metadata store use the messages in
// heartbeat.go, jobs.go, watch.go, storecall.go, usage.go, permit.go and crash.go; the
// standalone stack uses those in membership.go, documents.go, engine_load.go, claims.go and
// samples.go.
//
// Decoding errors are of type *FrameError. A peer refuses a request with a Failure, which
// package transport returns as a *RemoteError.
package wire
