package command

import (
	"errors"
	"flag"
	"io"
)

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

// usageError turns a flag error into one that ends with the usage code.
func usageError(err error) error {
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &UsageError{Message: err.Error()}
}
