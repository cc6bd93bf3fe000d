// Package test runs the built programs as processes on loopback, connected through
// fault-injecting proxies, and checks what callers, trainers, replicas and stores see.
//
// Files named standalone_* start the standalone stack: nodes, engines, trainers
// and the object API, all from this repository. The other files start nodes that use
// stand-ins for the users' platform: its metadata store, replicas and duty API.
// Files named soak_* implement one long run under random faults drawn from a seed:
// TestSoak runs a fixed list of seeds, and with -soak.for new seeds for that long.
// programs_test.go and proxy_test.go are shared by all of them.
package test
