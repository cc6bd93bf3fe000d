package batch

import "context"

// signal wakes one goroutine that waits for work. Signals set while it is not waiting are
// merged into one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// set wakes the waiting goroutine, or else makes its next wait return at once.
func (s signal) set() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// wait waits for the signal. It returns false if the context ends first.
func (s signal) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s:
		return true
	}
}
