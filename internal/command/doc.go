// Package command is the command line of pathtally: a node and the commands
// of operators, each with its own flag set, usage, example and exit code.
package command
