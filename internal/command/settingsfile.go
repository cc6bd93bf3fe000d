package command

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/instance"
	"github.com/pathtally/pathtally/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for a change
// that comes without a signal.
const settingsPollInterval = 5 * time.Second

// followSettings reloads the settings file at SIGHUP and when it has changed.
func followSettings(running *instance.Instance, given settings.Settings, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	last := versionOf(path)
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-running.Drained():
			return
		case <-signals:
		case <-poll.C:
			if versionOf(path) == last {
				continue
			}
		}
		last = versionOf(path)
		changed, err := settings.Load(path, given)
		if err != nil {
			klog.Background().Error(err, "settings not reloaded, the former ones hold", "file", path)
			continue
		}
		running.Reload(changed)
	}
}

// fileVersion tells two contents of a file apart; its zero value is a file that
// cannot be read.
type fileVersion struct {
	changed time.Time
	size    int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{changed: info.ModTime(), size: info.Size()}
}
