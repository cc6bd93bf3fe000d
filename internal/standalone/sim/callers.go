package sim

import (
	"fmt"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/wire"

	"github.com/cespare/xxhash/v2"
)

const (
	callerName     = "caller"
	callerDeadline = 8 * time.Second
	// callerGrace is how long after its deadline a caller still listens.
	callerGrace = 3 * time.Second
	callerRetry = time.Second
	callerTries = 5
	// burstShare of the unsafe requests are sent through three nodes at once.
	burstShare = 0.4
)

// Callers send requests to nodes, and repeat the unsafe ones until they know.
type Callers struct {
	world  *World
	host   *Host
	number int
	// stopped ends new arrivals.
	stopped bool
}

func newCallers(world *World) *Callers {
	host := NewHost(world.Scheduler, callerName, outside)
	host.start()
	world.Network.Add(host)
	return &Callers{world: world, host: host}
}

// Start begins arrivals of a group at a rate a second.
func (c *Callers) Start(group string, perSecond, unsafeShare float64) {
	random := c.world.Scheduler.Random
	var arrive func()
	arrive = func() {
		if c.stopped {
			return
		}
		c.number++
		asked := CallerRequest{Group: group, Prompt: fmt.Sprintf("%s asks %d", group, c.number), MaxTokens: c.world.config.LiveTokens}
		if random.Float64() < unsafeShare {
			asked.Key = fmt.Sprintf("key-%d", c.number)
		}
		copies := 1
		if asked.Key != "" && random.Float64() < burstShare {
			copies = 3
		}
		for i := range copies {
			c.ask(asked, random.IntN(len(c.world.Nodes))+i, 0)
		}
		c.world.Scheduler.After(time.Duration(random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	c.world.Scheduler.After(0, arrive)
}

// ask sends a request to a node and judges what comes of it.
func (c *Callers) ask(asked CallerRequest, place, tries int) {
	target := c.world.Nodes[place%len(c.world.Nodes)]
	asked.Deadline = c.world.Scheduler.Now().Add(callerDeadline)
	network := c.world.Network
	ended, reached := false, false
	end := func(answer *CallerAnswer) {
		if ended {
			return
		}
		ended = true
		c.world.History.ended(asked, answer, reached)
		c.again(asked, answer, place, tries)
	}
	if !target.host.alive {
		c.world.Scheduler.After(sameZone, func() { end(nil) })
		return
	}
	c.world.Scheduler.After(callerDeadline+callerGrace, func() { end(nil) })
	target.onDeath(func() { c.world.Scheduler.After(resetTime, func() { end(nil) }) })
	c.world.Scheduler.After(network.delay(callerName, target.host.Name), target.host.bind(func() {
		reached = true
		target.gateway.submit(asked, func(answer CallerAnswer) {
			c.world.Scheduler.After(network.delay(target.host.Name, callerName), func() { end(&answer) })
		})
	}))
}

// again sends an unsafe request whose outcome is not known, or that was
// refused, once more with its key.
func (c *Callers) again(asked CallerRequest, answer *CallerAnswer, place, tries int) {
	done := answer != nil && answer.Outcome == wire.OutcomeDone
	if done || asked.Key == "" || tries+1 >= callerTries || c.stopped {
		return
	}
	c.world.Scheduler.After(callerRetry, func() { c.ask(asked, place+1, tries+1) })
}

// expectedText is the one right answer to a request.
func (w *World) expectedText(prompt string, seed uint64, maxTokens int) string {
	return enginemodel.Text(prompt, 0, min(w.lengthOf(prompt, seed), maxTokens))
}

// lengthOf is how long the answer to a prompt would be without a bound.
func (w *World) lengthOf(prompt string, seed uint64) int {
	return w.config.Lengths.Draw(xxhash.Sum64String(prompt), seed)
}
