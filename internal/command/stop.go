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

// waitForStop starts the graceful shutdown of a node at the first signal. It returns when the
// node has drained, or at the second signal.
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
