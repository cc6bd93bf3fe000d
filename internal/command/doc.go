// Package command is the command line of pathtally: "node", which runs a node,
// and the operator's commands, each with its own flags, usage, example and exit
// code.
//
// "node" serves both kinds of node. Settings that name objectStore start one on
// the users' platform (package instance, which logs to standard output and has
// its settings file followed); all others start one of the standalone stack
// (internal/standalone/process). The operator's commands (validate, diff, apply,
// get, status, drain) are for the standalone stack: they write through its object
// API and ask its nodes for their status.
//
// The package owns no state. Every command returns a typed error, which Run
// prints and turns into the exit code.
package command
