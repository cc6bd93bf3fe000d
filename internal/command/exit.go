package command

import (
	"errors"

	"github.com/pathtally/pathtally/internal/standalone/configwriter"
)

// ExitCode is how a command ended.
type ExitCode int

// The exit codes, the same for every command.
const (
	ExitDone ExitCode = iota
	ExitFailed
	ExitUsage
	ExitConflict
	ExitUnknown
)

// exitCode maps an error to the exit code of the command.
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
