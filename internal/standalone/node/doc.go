// Package node joins the duties of the standalone stack into one node:
// membership, relay, leases, the reader, the quorum, engine polls, and for each
// lease that the node holds a rollout scheduler or a weight coordinator.
//
// Core owns these duties and the routing snapshot that they give. It has no
// sockets: the simulator and the node program (package process) drive the same
// Core, and give it clock, random source, peers and adapters through Config. Its
// exported methods run on the goroutine that owns it, except Snapshot and the
// parts of it, which any goroutine may read.
package node
