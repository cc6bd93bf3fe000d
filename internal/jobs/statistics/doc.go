// Package statistics keeps what batch jobs have shown of items and models: how long the
// texts of items are, how many events a model makes for each token that callers expect,
// how much work the jobs of a model are, and by how many versions its weights may be
// behind. A job that starts takes its order of work from them, and the duty that orders
// weights its demand.
//
// All of it is in memory and may be lost: a node that knows nothing decides by what
// callers say, and learns within seconds from its own runs and the heartbeats of others.
// The types do no I/O, read no clock and have no lock; their caller guards them.
package statistics
