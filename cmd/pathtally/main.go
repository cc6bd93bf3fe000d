// Command pathtally runs a node, on the users' platform or of the standalone
// stack, and is the operator's command line. Run it with -h for the subcommands.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/command"
)

func main() { os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr))) }
