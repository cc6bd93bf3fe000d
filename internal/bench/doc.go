// Package bench is the command line of pathtally-bench: "sim" searches for
// broken promises of the standalone stack under random faults on a virtual
// clock (internal/standalone/sim), and "timeline" shows from the log lines of
// nodes where the time of each trainer's step went (package timeline).
//
// The package owns no state. A run that finds a broken promise ends with a
// *FailedError.
package bench
