package command

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/instance"
	"github.com/pathtally/pathtally/internal/logging"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/platform"
)

// settingsLook is the time between looks at whether the settings file has
// changed without a signal.
const settingsLook = 5 * time.Second

// runInstance runs a node on a metadata store until a signal.
func runInstance(context *invocation, loaded, given settings.Settings, path string, level slog.Level) error {
	flush := logging.Setup(context.stdout, level)
	defer flush()
	running, err := instance.Start(loaded, platform.NewAdapter(loaded.ObjectStore))
	if err != nil {
		return err
	}
	go followSettings(running, given, path)
	waitForStop(running)
	return nil
}

// followSettings reloads the settings file at SIGHUP and when it has changed.
func followSettings(running *instance.Instance, given settings.Settings, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	last := stampOf(path)
	look := time.NewTicker(settingsLook)
	defer look.Stop()
	for {
		select {
		case <-running.Drained():
			return
		case <-signals:
		case <-look.C:
			if stampOf(path) == last {
				continue
			}
		}
		last = stampOf(path)
		changed, err := settings.Load(path, given)
		if err != nil {
			klog.Background().Error(err, "settings not reloaded, the former ones hold", "file", path)
			continue
		}
		running.Reload(changed)
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	changed time.Time
	size    int64
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{changed: info.ModTime(), size: info.Size()}
}
