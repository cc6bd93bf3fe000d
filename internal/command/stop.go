package command

import (
	"os"
	"syscall"
)

// stoppable is a running node.
type stoppable interface {
	Stop()
	Drained() <-chan struct{}
}

// waitForStop starts the planned stop of a node at the first signal, and returns when the node has
// stopped. A further SIGTERM changes nothing, since a supervisor may repeat it while requests are in
// progress. SIGINT, which a person sends, cuts the stop short: waitForStop returns at once.
func waitForStop(running stoppable, signals <-chan os.Signal) {
	select {
	case <-signals:
		go running.Stop()
	case <-running.Drained():
		return
	}
	for {
		select {
		case received := <-signals:
			if received == syscall.SIGINT {
				return
			}
		case <-running.Drained():
			return
		}
	}
}
