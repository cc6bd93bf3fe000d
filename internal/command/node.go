package command

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/standalone/process"
)

// runNode runs a node until a signal: SIGTERM and SIGINT begin the planned
// stop, a second one ends it at once.
func runNode(context *invocation) error {
	var given settings.Settings
	given.Register(context.flags)
	path := context.flags.String("settings", "", "settings file (YAML); each setting is also a flag, which goes first")
	check := context.flags.Bool("check", false, "check the settings and exit")
	verbose := context.flags.Bool("v", false, "log more")
	words, err := context.parse()
	if err != nil {
		return usageError(err)
	}
	if len(words) > 0 {
		return &UsageError{Message: fmt.Sprintf("unexpected %q", words[0])}
	}
	loaded, err := settings.Load(*path, given)
	if err != nil {
		return err
	}
	if *check {
		fmt.Fprintln(context.stdout, "settings are valid")
		return nil
	}
	level := slog.LevelInfo
	if *verbose {
		level = slog.LevelDebug
	}
	if loaded.ObjectStore != "" || loaded.Idle {
		return runInstance(context, loaded, given, *path, level)
	}
	process.SetupLogging(context.stderr, level)
	running, err := process.Start(loaded)
	if err != nil {
		return err
	}
	fmt.Fprintf(context.stdout, "node %s: peer %s http %s\n", running.Name(), running.PeerAddress(), running.HTTPAddress())
	waitForStop(running)
	return nil
}

// stoppable is a running node.
type stoppable interface {
	Stop()
	Drained() <-chan struct{}
}

// waitForStop begins the planned stop at the first signal and returns when it
// has ended, or at the second signal.
func waitForStop(running stoppable) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		go running.Stop()
	case <-running.Drained():
		return
	}
	select {
	case <-signals:
	case <-running.Drained():
	}
}
