package sim

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/standin/objects"
)

const (
	objectLatency = 4 * time.Millisecond
	objectTimeout = 2 * time.Second
	watchPoll     = 50 * time.Millisecond
)

// Platform is the simulated object API and machine list.
type Platform struct {
	scheduler *Scheduler
	store     *objects.Store
	// Outage makes every call fail; LoseAnswer and LoseRequest are the shares
	// of writes whose answer or request is lost; Slow is added to each answer.
	Outage      bool
	LoseAnswer  float64
	LoseRequest float64
	Slow        time.Duration
	MachineLag  time.Duration
	machines    map[string]environment.Machine
	shown       map[string]environment.Machine
	shownOrder  []string
	version     uint64
	// Requests counts the calls answered or refused.
	Requests int
	// OnConfiguration is called with each configuration that is written.
	OnPut func(object objects.Object)
}

// NewPlatform returns an empty platform.
func NewPlatform(scheduler *Scheduler) *Platform {
	return &Platform{
		scheduler: scheduler, store: objects.NewStore(), MachineLag: 2 * time.Second,
		machines: map[string]environment.Machine{}, shown: map[string]environment.Machine{}, version: 1,
	}
}

// Client returns the object API as a host reaches it.
func (p *Platform) Client(host *Host) *PlatformClient {
	return &PlatformClient{platform: p, host: host}
}

// PlatformClient implements environment.Objects and environment.Machines.
type PlatformClient struct {
	platform *Platform
	host     *Host
}

func (c *PlatformClient) latency() time.Duration {
	return objectLatency + time.Duration(c.platform.scheduler.Random.Int64N(int64(objectLatency))) + c.platform.Slow
}

// request runs work at the platform after its latency, and fail if there is
// no answer.
func (c *PlatformClient) request(work func(answer func(func())), fail func()) {
	p := c.platform
	answered, life := false, c.host.life
	bound := c.host.bind(func() {
		if !answered {
			answered = true
			fail()
		}
	})
	p.scheduler.After(objectTimeout, bound)
	p.scheduler.After(c.latency(), func() {
		p.Requests++
		if p.Outage {
			p.scheduler.After(objectLatency, bound)
			return
		}
		work(func(call func()) {
			p.scheduler.After(objectLatency, c.host.bindTo(life, func() {
				if !answered {
					answered = true
					call()
				}
			}))
		})
	})
}

func unavailable() error { return merry.Wrap(environment.ErrObjectsUnavailable) }

// Get implements environment.Objects.
func (c *PlatformClient) Get(name string, done func(environment.Object, error)) {
	c.request(func(answer func(func())) {
		object, found := c.platform.store.Get(name)
		answer(func() {
			if !found {
				done(environment.Object{}, merry.Wrap(environment.ErrObjectNotFound))
				return
			}
			done(environment.Object(object), nil)
		})
	}, func() { done(environment.Object{}, unavailable()) })
}

// Put implements environment.Objects.
func (c *PlatformClient) Put(name string, data []byte, ifVersion uint64, done func(environment.Object, error)) {
	p := c.platform
	c.request(func(answer func(func())) {
		if p.scheduler.Random.Float64() < p.LoseRequest {
			return
		}
		object, written := p.store.Put(name, data, ifVersion)
		if written && p.OnPut != nil {
			p.OnPut(object)
		}
		if p.scheduler.Random.Float64() < p.LoseAnswer {
			return
		}
		answer(func() {
			if !written {
				done(environment.Object{}, merry.Wrap(environment.ErrObjectConflict))
				return
			}
			done(environment.Object(object), nil)
		})
	}, func() { done(environment.Object{}, unavailable()) })
}

// Watch implements environment.Objects.
func (c *PlatformClient) Watch(names []string, from uint64, wait time.Duration, done func([]environment.Object, uint64, error)) {
	p := c.platform
	limit := p.scheduler.Now().Add(wait)
	var poll func()
	poll = c.host.bind(func() {
		if p.Outage {
			done(nil, 0, unavailable())
			return
		}
		found, next, reaches := p.store.Since(names, from)
		switch {
		case !reaches:
			done(nil, 0, merry.Wrap(environment.ErrVersionTooOld))
		case len(found) > 0 || p.scheduler.Now().After(limit):
			converted := make([]environment.Object, len(found))
			for i, object := range found {
				converted[i] = environment.Object(object)
			}
			done(converted, next, nil)
		default:
			p.scheduler.After(watchPoll, poll)
		}
	})
	p.Requests++
	p.scheduler.After(c.latency(), poll)
}

// SetMachine changes the machine list; readers see it after the lag.
func (p *Platform) SetMachine(machine environment.Machine) {
	p.scheduler.After(p.MachineLag, func() {
		if _, listed := p.shown[machine.Address]; !listed {
			p.shownOrder = append(p.shownOrder, machine.Address)
		}
		p.shown[machine.Address] = machine
		p.version++
	})
}

// List implements environment.Machines.
func (c *PlatformClient) List(done func([]environment.Machine, uint64, error)) {
	c.request(func(answer func(func())) {
		var machines []environment.Machine
		for _, address := range c.platform.shownOrder {
			machines = append(machines, c.platform.shown[address])
		}
		version := c.platform.version
		answer(func() { done(machines, version, nil) })
	}, func() { done(nil, 0, unavailable()) })
}
