package command

import (
	"log/slog"

	"github.com/pathtally/pathtally/internal/instance"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/platform"
)

// runInstance runs a node on a metadata store until a signal.
func runInstance(context *invocation, loaded settings.Settings, _ string, level slog.Level) error {
	flush := instance.SetupLogging(context.stdout, level)
	defer flush()
	running, err := instance.Start(loaded, platform.NewAdapter(loaded.ObjectStore))
	if err != nil {
		return err
	}
	waitForStop(running)
	return nil
}
