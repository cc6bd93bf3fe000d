package command

import (
	"fmt"
	"log/slog"

	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

// runNode runs a node until it is stopped by a signal, as described at waitForStop.
func runNode(call *invocation) error {
	var given settings.Settings
	given.Register(call.flags)
	path := call.flags.String("settings", "", "settings file (YAML); each setting is also a flag, which goes first")
	check := call.flags.Bool("check", false, "check the settings and exit")
	verbose := call.flags.Bool("v", false, "log more")
	words, err := call.parse()
	if err != nil {
		return usageError(err)
	}
	if len(words) > 0 {
		return &UsageError{Message: fmt.Sprintf("unexpected %q", words[0])}
	}
	// Signals may come before the node runs, and changes of the file while it is read.
	signals, version := receiveSignals(), versionOf(*path)
	loaded, err := settings.Load(*path, given)
	if err != nil {
		return err
	}
	if *check {
		fmt.Fprintln(call.stdout, "settings are valid")
		return nil
	}
	level := slog.LevelInfo
	if *verbose {
		level = slog.LevelDebug
	}
	if loaded.ObjectStore != "" || loaded.Idle {
		return runInstance(call, loaded, given, *path, version, signals, level)
	}
	process.SetupLogging(call.stderr, level)
	running, err := process.Start(loaded)
	if err != nil {
		return err
	}
	fmt.Fprintf(call.stdout, "node %s: peer %s http %s\n", running.Name(), running.PeerAddress(), running.HTTPAddress())
	waitForStop(running, signals.stop)
	return nil
}
