package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
)

// subcommand is one entry of the command line.
type subcommand struct {
	name     string
	synopsis string
	example  string
	run      func(context *invocation) error
}

// invocation is one call of a subcommand.
type invocation struct {
	flags  *flag.FlagSet
	args   []string
	stdout io.Writer
	stderr io.Writer
}

// parse reads the flags, which may stand before or after the other words.
func (i *invocation) parse() ([]string, error) {
	var words []string
	rest := i.args
	for {
		if err := i.flags.Parse(rest); err != nil {
			return nil, err
		}
		rest = i.flags.Args()
		if len(rest) == 0 {
			return words, nil
		}
		words = append(words, rest[0])
		rest = rest[1:]
	}
}

func subcommands() []subcommand {
	return []subcommand{
		{"node", "run a node", "pathtally node -settings examples/separate/node-1.yaml", runNode},
		{"validate", "check a folder of objects", "pathtally validate -f examples/kotuku", runValidate},
		{"diff", "show what apply would change", "pathtally diff -f examples/kotuku -platform 127.0.0.1:7000", runDiff},
		{"apply", "make a folder of objects the configuration", "pathtally apply -f examples/kotuku -platform 127.0.0.1:7000 -wait -node-address 127.0.0.1:8001", runApply},
		{"get", "show objects of the configuration in force", "pathtally get Engine -l zone=auckland-a -o yaml -platform 127.0.0.1:7000", runGet},
		{"status", "show the nodes and engines", "pathtally status -node-address 127.0.0.1:8001", runStatus},
		{"drain", "begin the planned stop of a node, or cordon an engine", "pathtally drain node-2 -node-address 127.0.0.1:8001 -platform 127.0.0.1:7000", runDrain},
		{"version", "show the version", "pathtally version", runVersion},
	}
}

const exitCodes = "Exit codes: 0 done, 1 failed, 2 usage, 3 conflict with another writer, 4 outcome unknown."

// Run executes a command line.
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
