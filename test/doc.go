// Package test runs the built programs as real processes on loopback, behind a
// proxy that injects faults, and counts what callers, trainers and engines
// have seen.
package test
