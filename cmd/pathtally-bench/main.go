// Command pathtally-bench measures: simulated faults, the load that
// nodes bear, and where the time of steps went. Run it with -h for the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/bench"
)

func main() { os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr)) }
