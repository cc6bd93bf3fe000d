// Package environment declares what every duty of a node is given from
// outside: a clock, its peers and the object API. The node program implements
// them over sockets, the simulator over a virtual clock; the duties cannot
// tell which. All callbacks run on the one goroutine that owns the duty, so
// duties need no locks.
package environment
