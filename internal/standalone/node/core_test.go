package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// countingObjects counts reads and has nothing.
type countingObjects struct{ reads int }

func (o *countingObjects) Get(_ string, done func(environment.Object, error)) {
	o.reads++
	done(environment.Object{}, environment.ErrObjectNotFound)
}

func (o *countingObjects) Put(string, []byte, uint64, func(environment.Object, error)) {}

func (o *countingObjects) Watch([]string, uint64, time.Duration, func([]environment.Object, uint64, error)) {
}

// stepClock runs timers in the order of their time until a limit.
type stepClock struct {
	now   time.Time
	calls []stepCall
}

type stepCall struct {
	at   time.Time
	call func()
}

func (c *stepClock) Now() time.Time { return c.now }

func (c *stepClock) AfterFunc(delay time.Duration, call func()) environment.Timer {
	c.calls = append(c.calls, stepCall{at: c.now.Add(delay), call: call})
	return noTimer{}
}

type noTimer struct{}

func (noTimer) Stop() {}

func (c *stepClock) run(span time.Duration) {
	end := c.now.Add(span)
	for {
		first := -1
		for i, pending := range c.calls {
			if !pending.at.After(end) && (first < 0 || pending.at.Before(c.calls[first].at)) {
				first = i
			}
		}
		if first < 0 {
			c.now = end
			return
		}
		next := c.calls[first]
		c.calls = append(c.calls[:first], c.calls[first+1:]...)
		c.now = next.at
		next.call()
	}
}

type noPeers struct{}

func (noPeers) Send(string, wire.Message) {}

func (noPeers) Broadcast([]string, wire.Message) {}

func (noPeers) Call(string, wire.Message, time.Duration, func(wire.Message, error)) {}

// TestWaitingNodeAsksTheObjectAPISeldom is a first node without seeds, which
// asked the object API in a tight loop until it was ready.
func TestWaitingNodeAsksTheObjectAPISeldom(t *testing.T) {
	clock, objects := &stepClock{now: time.Unix(0, 0)}, &countingObjects{}
	core := NewCore(Config{Self: wire.Member{ID: "n", Zone: "z", Region: "r", Incarnation: 1}, Clock: clock, Random: rand.New(rand.NewPCG(1, 1)), Peers: noPeers{}, Objects: objects})
	core.Start()
	clock.run(time.Minute)
	if objects.reads > 120 {
		t.Errorf("%d reads in a minute", objects.reads)
	}
}
