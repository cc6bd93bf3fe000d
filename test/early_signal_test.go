package test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against a node that ends because its settings change while it starts.
func TestReloadSignalDuringStart(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, deploymentSpec{nodes: 1, engines: 1, apps: 1, eventInterval: time.Millisecond})
	settings, err := os.ReadFile(d.writeSettings(1, "6s"))
	if err != nil {
		t.Fatal(err)
	}
	// The node reads its settings from a pipe, so that it starts when the test lets it.
	path := filepath.Join(d.folder, "pipe.yaml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	node := &platformNode{program: start(t, 0, "pathtally", "node", "-settings", path)}
	go node.collect()
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	node.signal(syscall.SIGHUP)
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	d.eventually("the node to start", func() bool { return node.find("node started") != nil })
	// The node reads the file again for the signal.
	if pipe, err = os.OpenFile(path, os.O_WRONLY, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	d.eventually("the settings to be reloaded", func() bool { return node.find("settings reloaded") != nil })
}
