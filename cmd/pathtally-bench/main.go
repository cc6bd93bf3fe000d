// Command pathtally-bench searches for broken promises under simulated faults,
// and shows from log lines where the time of each trainer's step went. Run it
// without arguments for the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/bench"
)

func main() { os.Exit(bench.Run(os.Args[1:], os.Stdout, os.Stderr)) }
