// Command pathtally-dev runs a complete deployment of the standalone stack in one process for
// a short time, with live requests and training, and prints the observations of callers,
// trainers and engines. It exits with 1 if an invariant was violated.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/standalone/devrun"
)

func main() { os.Exit(devrun.Command(os.Args[1:], os.Stdout, os.Stderr)) }
