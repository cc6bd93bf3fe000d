// Command pathtally-bench measures: simulated faults, rollout policies, scale,
// and the load that nodes bear. Run it with -h for the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/bench"
)

func main() { os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr)) }
