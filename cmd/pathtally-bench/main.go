// Command pathtally-bench tests the invariants of the standalone stack under simulated
// faults, and computes from log lines how the time of each trainer's step was spent. Run it
// without arguments to list the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/bench"
)

func main() { os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr)) }
