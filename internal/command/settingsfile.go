package command

import (
	"os"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/instance"
	"github.com/pathtally/pathtally/internal/settings"
)

// settingsPollInterval is how often the settings file is checked for changes that are not
// announced by SIGHUP.
const settingsPollInterval = 5 * time.Second

// followSettings reloads the settings file on SIGHUP and when it has changed, until the node
// has drained. flags override the file, loaded is the version of the file that the node runs with.
func followSettings(running *instance.Instance, flags settings.Settings, path string, loaded fileVersion, signals <-chan os.Signal) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-running.Drained():
			return
		case <-signals:
		case <-poll.C:
			if versionOf(path) == loaded {
				continue
			}
		}
		loaded = versionOf(path)
		changed, err := settings.Load(path, flags)
		if err != nil {
			klog.Background().Error(err, "settings reload failed; keeping current settings", "file", path)
			continue
		}
		running.Reload(changed)
	}
}

// fileVersion distinguishes versions of a file by modification time and size. The zero value
// stands for a file that cannot be read.
type fileVersion struct {
	modified time.Time
	size     int64
}

func versionOf(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{modified: info.ModTime(), size: info.Size()}
}
