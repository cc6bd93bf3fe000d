package batch

import "context"

// signal wakes one goroutine that waits for work. Signals that come while it works are
// one.
type signal chan struct{}

func newSignal() signal { return make(signal, 1) }

// set wakes the goroutine that waits, or lets the next wait end at once.
func (s signal) set() {
	select {
	case s <- struct{}{}:
	default:
	}
}

// wait waits for the signal; false if the context ends first.
func (s signal) wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s:
		return true
	}
}
