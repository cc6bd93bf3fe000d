// Package engineplan makes the routing snapshot of the standalone stack: for each traffic
// group and trainer of a configuration, the plan of the engines that the rules allow it.
//
// A Builder owns the state of engines across snapshots; snapshots are immutable. It
// relies on package routing for the pick itself.
package engineplan
