// Package bench implements the command line of pathtally-bench: "sim" tests the invariants
// of the standalone stack under random faults on a virtual clock (internal/standalone/sim),
// and "timeline" computes from the log lines of nodes how the time of each trainer's step
// was spent (package timeline).
//
// A run that violates an invariant ends with a *FailedError.
package bench
