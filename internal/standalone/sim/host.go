package sim

import (
	"time"

	"github.com/pathtally/pathtally/internal/environment"
)

// Place is a zone of a region.
type Place struct{ Zone, Region string }

// outside is where callers, trainers and operators are.
var outside = Place{Zone: "outside", Region: "outside"}

// Host is a process that can be killed and paused. Calls meant for a killed
// life of it are dropped; those for a paused one wait until it wakes.
type Host struct {
	scheduler *Scheduler
	Name      string
	Zone      string
	Region    string
	life      int
	alive     bool
	paused    bool
	deferred  []func()
}

// NewHost returns a host that is not alive yet.
func NewHost(scheduler *Scheduler, name string, where Place) *Host {
	return &Host{scheduler: scheduler, Name: name, Zone: where.Zone, Region: where.Region}
}

// NewRunningHost returns a host that is alive, for tests of a single duty.
func NewRunningHost(scheduler *Scheduler, name string) *Host {
	host := NewHost(scheduler, name, outside)
	host.start()
	return host
}

func (h *Host) start() {
	h.life++
	h.alive = true
	h.paused = false
	h.deferred = nil
}

func (h *Host) kill() {
	h.alive = false
	h.deferred = nil
}

// Pause stops the host's calls until Resume.
func (h *Host) Pause() { h.paused = true }

// Resume runs what has waited.
func (h *Host) Resume() {
	h.paused = false
	waiting := h.deferred
	h.deferred = nil
	for _, call := range waiting {
		h.scheduler.After(0, call)
	}
}

// bind returns a call that runs in this life of the host only.
func (h *Host) bind(call func()) func() { return h.bindTo(h.life, call) }

// bindTo returns a call that runs in one life of the host only. An answer has
// to be bound to the life that asked: its connection ended with that.
func (h *Host) bindTo(life int, call func()) func() {
	var bound func()
	bound = func() {
		if !h.alive || h.life != life {
			return
		}
		if h.paused {
			h.deferred = append(h.deferred, bound)
			return
		}
		call()
	}
	return bound
}

// Now implements environment.Clock.
func (h *Host) Now() time.Time { return h.scheduler.Now() }

// AfterFunc implements environment.Clock.
func (h *Host) AfterFunc(delay time.Duration, call func()) environment.Timer {
	stopped := &hostTimer{}
	h.scheduler.After(delay, h.bind(func() {
		if !stopped.stopped {
			call()
		}
	}))
	return stopped
}

type hostTimer struct{ stopped bool }

// Stop implements environment.Timer.
func (t *hostTimer) Stop() { t.stopped = true }
