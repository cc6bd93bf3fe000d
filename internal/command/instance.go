package command

import (
	"log/slog"

	"github.com/pathtally/pathtally/internal/instance"
	"github.com/pathtally/pathtally/internal/logging"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/platform"
)

// runInstance runs a node on the users' platform until it is stopped by a signal. version is that of the
// settings file when it was read.
func runInstance(call *invocation, loaded, given settings.Settings, path string, version fileVersion, signals nodeSignals, level slog.Level) error {
	flush := logging.Setup(call.stdout, level)
	defer flush()
	running, err := instance.Start(loaded, platform.NewAdapter(loaded.ObjectStore))
	if err != nil {
		return err
	}
	go followSettings(running, given, path, version, signals.reload)
	waitForStop(running, signals.stop)
	return nil
}
