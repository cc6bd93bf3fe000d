// Package standincommand is the command line of pathtally-standin: the platform,
// engines, a scorer or a trainer as a process of its own, for tests and trials of
// the standalone stack. Each prints the addresses that it listens on, one a line,
// and runs until SIGTERM or SIGINT.
package standincommand
