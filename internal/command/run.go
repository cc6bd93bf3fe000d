package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

const exitCodes = "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict with another writer, 4 outcome unknown."

// Run runs a command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	if len(args) == 0 {
		usage(stderr)
		return ExitUsage
	}
	if args[0] == "-h" || args[0] == "-help" || args[0] == "--help" || args[0] == "help" {
		usage(stdout)
		return ExitDone
	}
	for _, candidate := range subcommands() {
		if candidate.name == args[0] {
			return execute(candidate, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "pathtally: no subcommand %q\n", args[0])
	usage(stderr)
	return ExitUsage
}

func execute(chosen subcommand, args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet(chosen.name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "pathtally %s: %s\n\nExample:\n  %s\n\nFlags:\n", chosen.name, chosen.synopsis, chosen.example)
		flags.PrintDefaults()
		fmt.Fprintf(stderr, "\n%s\n", exitCodes)
	}
	err := chosen.run(&invocation{flags: flags, args: args, stdout: stdout, stderr: stderr})
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		fmt.Fprintf(stderr, "pathtally %s: %v\n", chosen.name, err)
	}
	return exitCode(err)
}

func usage(writer io.Writer) {
	fmt.Fprint(writer, "pathtally routes requests and rollouts to model engines.\n\nSubcommands:\n")
	for _, listed := range subcommands() {
		fmt.Fprintf(writer, "  %-9s %s\n            %s\n", listed.name, listed.synopsis, listed.example)
	}
	fmt.Fprintf(writer, "\nEach has -h. %s\n", exitCodes)
}
