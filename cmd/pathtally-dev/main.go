// Command pathtally-dev runs a whole deployment of the standalone stack in one
// process for a short time, with live traffic and training, and prints what
// callers, trainers and engines have seen. It exits 1 when a promise of the
// service was broken.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/standalone/devrun"
)

func main() { os.Exit(devrun.Command(os.Args[1:], os.Stdout, os.Stderr)) }
