package loop

import (
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/workqueue"
)

// Loop is a queue of calls and the goroutine that runs them in order. It
// implements environment.Clock by the wall clock.
type Loop struct {
	calls *workqueue.Queue[func()]
	done  chan struct{}
}

// New starts a loop.
func New() *Loop {
	loop := &Loop{calls: workqueue.New[func()](), done: make(chan struct{})}
	go loop.run()
	return loop
}

// Post queues a call; it never blocks. Calls posted after Close are dropped.
func (l *Loop) Post(call func()) { l.calls.Add(call) }

// Length is the number of calls waiting.
func (l *Loop) Length() int { return l.calls.Len() }

// Close runs what was posted before and ends the goroutine.
func (l *Loop) Close() {
	l.calls.Close()
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
	for open := true; open; {
		var calls []func()
		calls, open = l.calls.Take()
		for _, call := range calls {
			call()
		}
	}
}
