// Package sim runs nodes, engines, trainers, callers and operators on a
// virtual clock with a seeded random source, through faults of every kind. The
// nodes are the node program's own Core; only sockets, disks and outside
// systems are replaced. The same seed gives the same trace. What happens at
// the edges is recorded in a History, which the checkers judge.
package sim
