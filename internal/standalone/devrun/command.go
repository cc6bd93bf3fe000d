package devrun

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/process"
)

const defaultSpan = 20 * time.Second

// Exit codes of the command.
const (
	exitDone = iota
	exitFailed
	exitUsage
)

// Command executes the command line of pathtally-dev and returns its exit code. It
// writes the summary to stdout as one line of JSON, and progress to stderr.
func Command(args []string, stdout, stderr io.Writer) int {
	config := Config{Progress: stderr}
	flags := flag.NewFlagSet("pathtally-dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.DurationVar(&config.For, "for", defaultSpan, "how long to run")
	flags.StringVar(&config.Folder, "deployment", "examples/kotuku", "folder of declared objects")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the traffic")
	flags.Float64Var(&config.Rate, "rate", 60, "live requests a second, all groups together")
	logs := flags.String("logs", "", "file for the JSON log lines; empty drops them")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return exitDone
	} else if err != nil {
		return exitUsage
	}
	if err := execute(config, *logs, stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitDone
}

// execute runs the deployment and prints its summary. Its error is a *BrokenError
// when a promise was broken.
func execute(config Config, logs string, stdout io.Writer) error {
	if err := setupLogs(logs); err != nil {
		return err
	}
	summary, err := Run(config)
	if err != nil {
		return err
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, string(line))
	if broken := summary.Broken(); len(broken) > 0 {
		return &BrokenError{Promises: broken}
	}
	return nil
}

func setupLogs(path string) error {
	if path == "" {
		process.SetupLogging(io.Discard, slog.LevelInfo)
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	process.SetupLogging(file, slog.LevelInfo)
	return nil
}
