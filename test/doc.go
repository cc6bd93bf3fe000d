// Package test runs the built programs as real processes on loopback, behind a
// proxy that injects faults, and counts what callers, trainers, replicas and
// stores have seen.
//
// Files named standalone_* start the standalone stack: nodes, engines, trainers
// and the object API, all from this repository. All others start nodes on the
// users' platform, before stand-ins for its metadata store, replicas and duty
// API. Files named soak_* are one long run under random faults from a seed;
// TestSoak runs the kept seeds and -soak.for as many more as there is time for.
// Shared by all: programs_test.go and proxy_test.go.
package test
