package command

import (
	"os"
	"os/signal"
	"syscall"
)

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
