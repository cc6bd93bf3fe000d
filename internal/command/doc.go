// Package command implements the command line of pathtally: the subcommand "node", which runs
// a node, and the operator's subcommands.
//
// "node" runs either kind of node. If the settings contain objectStore or idle, it runs a node
// on the users' platform (package instance), which logs to standard output and reloads its
// settings file when it changes. Otherwise it runs a node of the standalone stack
// (internal/standalone/process). The operator's subcommands (validate, diff, apply, get,
// status, drain) support the standalone stack only: they write through its object API and
// query the status of its nodes.
//
// Every subcommand returns a typed error, which Run prints and converts to an exit code.
package command
