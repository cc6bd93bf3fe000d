package bench

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"

	"github.com/pathtally/pathtally/internal/standalone/process"
)

// Exit codes of pathtally-bench.
const (
	exitDone = iota
	exitFailed
	exitUsage
)

const usageText = `pathtally-bench checks and measures.

  pathtally-bench sim -seeds 1000 [-from N] [-trace]
        random faults on a virtual clock; checks every promise
  pathtally-bench timeline [-json] [-plot steps.svg] FILE...
        where the time of each trainer's step went, from the nodes' log lines

Each has -h. Exit codes: 0 done, 1 failed or a promise was broken, 2 usage.
`

// invocation holds the arguments and output streams of a subcommand.
type invocation struct {
	flags  *flag.FlagSet
	args   []string
	stdout io.Writer
	stderr io.Writer
}

// parse parses the command-line flags. A non-nil error is flag.ErrHelp or a *UsageError.
func (c *invocation) parse() error {
	err := c.flags.Parse(c.args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &UsageError{Message: err.Error()}
}

// subcommands maps names to subcommands.
var subcommands = map[string]func(call *invocation) error{
	"sim":      runSim,
	"timeline": runTimeline,
}

// Run runs a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || subcommands[args[0]] == nil {
		fmt.Fprint(stderr, usageText)
		return exitUsage
	}
	process.SetupLogging(io.Discard, slog.LevelInfo)
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	err := subcommands[args[0]](&invocation{flags: flags, args: args[1:], stdout: stdout, stderr: stderr})
	if errors.Is(err, flag.ErrHelp) {
		return exitDone
	}
	if err != nil {
		fmt.Fprintf(stderr, "pathtally-bench %s: %v\n", args[0], err)
		var usage *UsageError
		if errors.As(err, &usage) {
			return exitUsage
		}
		return exitFailed
	}
	return exitDone
}
