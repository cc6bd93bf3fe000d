// Package node joins the duties into one node. Core is the part without
// sockets: the simulator and the node program drive the same Core. Its
// exported methods run on the goroutine that owns it, except Snapshot and the
// parts of it, which any goroutine may read.
package node
