package command

import (
	"errors"
	"flag"
	"io"
)

// invocation holds the arguments and output streams of a subcommand.
type invocation struct {
	flags  *flag.FlagSet
	args   []string
	stdout io.Writer
	stderr io.Writer
}

// parse parses the flags and returns the other arguments. Flags may come before, between or
// after them.
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

// usageError converts an error of flag parsing to a *UsageError. It returns flag.ErrHelp
// unchanged.
func usageError(err error) error {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &UsageError{Message: err.Error()}
}
