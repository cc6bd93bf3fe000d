package sim

import (
	"github.com/pathtally/pathtally/internal/standalone/engine"
)

// engineClient implements engine.Client for one host.
type engineClient struct {
	world *World
	host  *Host
}

// reach runs a call at an engine after the latency; failed is called when the
// engine is not there or the link is cut.
func (c *engineClient) reach(address string, call func(*Engine), failed func(engine.FailureKind)) {
	callerLife := c.host.life
	target := c.world.Engines[address]
	network := c.world.Network
	if target == nil || !target.host.alive {
		c.host.AfterFunc(sameZone, func() { failed(engine.NotSent) })
		return
	}
	if !network.reaches(c.host.Name, address) {
		// The packets vanish: nobody can say whether anything arrived.
		c.host.AfterFunc(connectTimeout, func() { failed(engine.Broken) })
		return
	}
	life := target.host.life
	c.world.Scheduler.After(network.delay(c.host.Name, address), func() {
		if !target.host.alive || target.host.life != life {
			c.world.Scheduler.After(sameZone, c.host.bindTo(callerLife, func() { failed(engine.Broken) }))
			return
		}
		target.host.bind(func() { call(target) })()
	})
}

// Start implements engine.Client.
func (c *engineClient) Start(address string, request engine.Request, sink func(engine.Event)) func() {
	c.world.History.dispatched(c.host.Name, address)
	life := c.host.life
	c.reach(address, func(target *Engine) { target.admit(c.host, life, request, sink) }, func(kind engine.FailureKind) {
		sink(&engine.Error{Kind: kind, Address: address, Detail: "connect"})
	})
	return func() {
		c.reach(address, func(target *Engine) { target.cancel(request.ID) }, func(engine.FailureKind) {})
	}
}

// Export implements engine.Client.
func (c *engineClient) Export(address, id string) {
	c.reach(address, func(target *Engine) { target.export(id) }, func(engine.FailureKind) {})
}

// Order implements engine.Client.
func (c *engineClient) Order(address string, order engine.Order, done func(engine.Status, error)) {
	life := c.host.life
	c.reach(address, func(target *Engine) {
		status, err := target.order(order)
		c.answer(address, life, func() { done(status, err) }, func() {
			done(engine.Status{}, &engine.Error{Kind: engine.Broken, Address: address, Detail: "answer lost"})
		})
	}, func(kind engine.FailureKind) {
		done(engine.Status{}, &engine.Error{Kind: kind, Address: address, Detail: "order"})
	})
}

// Status implements engine.Client.
func (c *engineClient) Status(address string, done func(engine.Status, error)) {
	life := c.host.life
	c.reach(address, func(target *Engine) {
		status := target.laggedStatus()
		c.answer(address, life, func() { done(status, nil) }, func() {
			done(engine.Status{}, &engine.Error{Kind: engine.Broken, Address: address, Detail: "answer lost"})
		})
	}, func(kind engine.FailureKind) {
		done(engine.Status{}, &engine.Error{Kind: kind, Address: address, Detail: "status"})
	})
}

// answer brings a reply back to the life that asked, or the failure when the
// link is cut by then.
func (c *engineClient) answer(address string, life int, call, lost func()) {
	network := c.world.Network
	if !network.reaches(address, c.host.Name) {
		c.world.Scheduler.After(connectTimeout, c.host.bindTo(life, lost))
		return
	}
	c.world.Scheduler.After(network.delay(address, c.host.Name), c.host.bindTo(life, call))
}
