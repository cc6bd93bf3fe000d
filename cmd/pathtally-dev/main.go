// Command pathtally-dev runs a whole deployment in one process for a short
// time, with live traffic and training, and prints what callers, trainers and
// engines have seen. It exits 1 when a promise of the service was broken.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/devrun"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

const defaultSpan = 20 * time.Second

func main() {
	config := devrun.Config{Progress: os.Stderr}
	flag.DurationVar(&config.For, "for", defaultSpan, "how long to run")
	flag.StringVar(&config.Folder, "deployment", "examples/kotuku", "folder of declared objects")
	flag.Uint64Var(&config.Seed, "seed", 1, "seed of the traffic")
	flag.Float64Var(&config.Rate, "rate", 60, "live requests a second, all groups together")
	logs := flag.String("logs", "", "file for the JSON log lines; empty drops them")
	flag.Parse()
	if err := setupLogs(*logs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	summary, err := devrun.Run(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	line, err := json.Marshal(summary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(string(line))
	broken := summary.Broken()
	for _, promise := range broken {
		fmt.Fprintln(os.Stderr, "broken:", promise)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
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
