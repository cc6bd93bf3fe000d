// Package environment defines the interfaces through which the parts of a node use the clock,
// the network and the platform, so that tests and the simulator can replace them.
//
// Both stacks use Peers, which sends messages to other nodes, and Call. Clock, Machines and
// Objects are used only by the standalone stack, whose duties run on one goroutine each. All
// callbacks run on the goroutine of the duty, so duties need no locks.
//
// The package has no state.
package environment
