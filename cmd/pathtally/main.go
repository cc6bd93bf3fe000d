// Command pathtally runs a node, either on the users' platform or of the standalone stack, and
// provides the operator's subcommands. Run it with -h to list them.
package main

import (
	"os"

	"github.com/pathtally/pathtally/internal/command"
)

func main() { os.Exit(int(command.Run(os.Args[1:], os.Stdout, os.Stderr))) }
