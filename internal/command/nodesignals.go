package command

import (
	"os"
	"os/signal"
	"syscall"
)

// nodeSignals are the signals to a node that have not been handled. Until a signal is received here, it
// ends the process.
type nodeSignals struct {
	// reload receives SIGHUP, stop receives SIGTERM and SIGINT.
	reload, stop chan os.Signal
}

// receiveSignals begins to receive signals, which are handled once the node runs.
func receiveSignals() nodeSignals {
	signals := nodeSignals{reload: make(chan os.Signal, 1), stop: make(chan os.Signal, 2)}
	signal.Notify(signals.reload, syscall.SIGHUP)
	signal.Notify(signals.stop, syscall.SIGTERM, syscall.SIGINT)
	return signals
}
