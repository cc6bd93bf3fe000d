// Package environment declares what the parts of a node are given from outside, so that tests
// and the simulator can replace it.
//
// Both stacks use Peers, the way to send messages to other nodes, and Call. Clock, Machines and
// Objects are for the standalone stack alone, whose duties run on one goroutine each: all
// callbacks run on the goroutine that owns the duty, so duties need no locks, and can't tell
// the node program's sockets from the simulator's virtual clock.
//
// The package owns no state.
package environment
