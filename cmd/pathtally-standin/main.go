// Command pathtally-standin runs a stand-in for a system outside the standalone stack: the
// platform, engines, a trainer or a scorer. Run it without arguments to list the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/standalone/standincommand"
)

func main() { os.Exit(standincommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
