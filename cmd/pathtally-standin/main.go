// Command pathtally-standin runs one stand-in for an outside system: the
// platform, an engine, a trainer or a scorer.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/standalone/standincommand"
)

func main() { os.Exit(standincommand.Run(os.Args[1:], os.Stdout, os.Stderr)) }
