package command

import (
	"errors"

	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

// ExitCode is the exit code of a subcommand.
type ExitCode int

// The exit codes, which are the same for every subcommand.
const (
	ExitDone ExitCode = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitUnknown
)

// exitCode returns the exit code for the error of a subcommand.
func exitCode(err error) ExitCode {
	var usage *UsageError
	var conflict *configwriter.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, configwriter.ErrOutcomeUnknown):
		return ExitUnknown
	}
	return ExitFailed
}
