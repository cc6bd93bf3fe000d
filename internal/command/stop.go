package command

import "os"

// stoppable is a running node.
type stoppable interface {
	Stop()
	Drained() <-chan struct{}
}

// waitForStop starts the graceful shutdown of a node at the first signal. It returns when the
// node has drained, or at the second signal.
func waitForStop(running stoppable, signals <-chan os.Signal) {
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
