// Package loop runs the duties of a node on one goroutine: calls posted from
// any goroutine, and timers.
package loop

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
)

// Loop is a queue of calls and the goroutine that runs them in order. It
// implements environment.Clock by the wall clock.
type Loop struct {
	mutex   sync.Mutex
	calls   []func()
	wake    chan struct{}
	closing bool
	done    chan struct{}
}

// New starts a loop.
func New() *Loop {
	loop := &Loop{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go loop.run()
	return loop
}

// Post queues a call; it never blocks. Calls posted after Close are dropped.
func (l *Loop) Post(call func()) {
	l.mutex.Lock()
	if l.closing {
		l.mutex.Unlock()
		return
	}
	l.calls = append(l.calls, call)
	l.mutex.Unlock()
	l.signal()
}

func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Length is the number of calls waiting.
func (l *Loop) Length() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.calls)
}

// Close runs what was posted before and ends the goroutine.
func (l *Loop) Close() {
	l.mutex.Lock()
	l.closing = true
	l.mutex.Unlock()
	l.signal()
	<-l.done
}

// Now implements environment.Clock.
func (l *Loop) Now() time.Time { return time.Now() }

// AfterFunc implements environment.Clock.
func (l *Loop) AfterFunc(delay time.Duration, call func()) environment.Timer {
	pending := &timer{}
	pending.timer = time.AfterFunc(delay, func() {
		l.Post(func() {
			if !pending.stopped {
				call()
			}
		})
	})
	return pending
}

// timer is a pending call; stopped is only touched on the loop.
type timer struct {
	timer   *time.Timer
	stopped bool
}

// Stop implements environment.Timer.
func (t *timer) Stop() {
	t.stopped = true
	t.timer.Stop()
}

func (l *Loop) run() {
	defer close(l.done)
	for range l.wake {
		l.mutex.Lock()
		calls, closing := l.calls, l.closing
		l.calls = nil
		l.mutex.Unlock()
		for _, call := range calls {
			call()
		}
		if closing {
			return
		}
	}
}
