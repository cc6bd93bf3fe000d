package lease

import (
	"encoding/json"
	"errors"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
)

// schedule plans the next check of a lease. A holder checks it three times a
// term; a candidate less often the lower it ranks.
func (m *Manager) schedule(name string, delay time.Duration) {
	state := m.states[name]
	if state.timer != nil {
		state.timer.Stop()
	}
	state.timer = m.config.Clock.AfterFunc(delay, func() {
		if m.stopped || !state.wanted {
			return
		}
		m.check(name)
	})
}

func (m *Manager) scheduleNext(name string) {
	period := m.config.Term / renewShare
	state := m.states[name]
	if rank := m.config.Rank(name); !state.held && rank != 0 {
		period = time.Duration(float64(m.config.Term) * math.Pow(rankGrowth, float64(min(max(rank, 1)-1, maxRank))))
	}
	jitter := time.Duration(m.config.Random.Int64N(int64(period)/5 + 1))
	m.schedule(name, period+jitter-period/10)
}

// check renews or yields a lease that is held, and otherwise reads it to see
// whether it has become free.
func (m *Manager) check(name string) {
	state := m.states[name]
	if state.busy {
		m.scheduleNext(name)
		return
	}
	if !state.held && m.config.Rank(name) < 0 {
		m.scheduleNext(name)
		return
	}
	if state.held && m.shouldYield(name) {
		m.release(name, func() {})
		m.scheduleNext(name)
		return
	}
	if state.held {
		record := state.record
		record.Renewals++
		m.write(name, record)
		return
	}
	state.busy = true
	m.config.Objects.Get(objectPrefix+name, func(object environment.Object, err error) {
		state.busy = false
		if m.stopped || !state.wanted {
			return
		}
		m.observe(name, object, err)
	})
}

// shouldYield tells whether the first candidate has been another node for
// long enough, so that duties spread again after the nodes have come up one
// by one.
func (m *Manager) shouldYield(name string) bool {
	state := m.states[name]
	renewals, may := 0, false
	if m.config.YieldAfter != nil {
		renewals, may = m.config.YieldAfter(name)
	}
	if !may || m.config.Rank(name) == 0 {
		state.outranked = 0
		return false
	}
	state.outranked++
	return state.outranked > renewals
}

// observe decides what a candidate does about the current lease.
func (m *Manager) observe(name string, object environment.Object, err error) {
	state := m.states[name]
	if errors.Is(err, environment.ErrObjectNotFound) {
		state.version = 0
		m.write(name, Record{Holder: m.config.Self, Token: 1})
		return
	}
	if err != nil {
		m.scheduleNext(name)
		return
	}
	var record Record
	if err := json.Unmarshal(object.Data, &record); err != nil {
		klog.Background().Error(err, "lease is not readable and counts as free", "lease", name, "version", object.Version)
		record = Record{}
	}
	now := m.config.Clock.Now()
	if object.Version != state.version {
		state.version, state.record, state.observed = object.Version, record, now
	}
	expired := now.Sub(state.observed) >= m.config.Term
	mine := record.Holder == m.config.Self
	if record.Holder == "" || expired || mine {
		// A record with this process's own name is a write whose answer was
		// lost; writing again with a greater token settles it.
		m.write(name, Record{Holder: m.config.Self, Token: record.Token + 1})
		return
	}
	m.scheduleNext(name)
}

func (m *Manager) write(name string, record Record) {
	state := m.states[name]
	data, err := json.Marshal(record)
	if err != nil {
		klog.Background().Error(err, "lease not written", "lease", name)
		m.scheduleNext(name)
		return
	}
	state.busy = true
	m.config.Objects.Put(objectPrefix+name, data, state.version, func(object environment.Object, err error) {
		state.busy = false
		m.written(name, record, object, err)
	})
}

func (m *Manager) written(name string, record Record, object environment.Object, err error) {
	state := m.states[name]
	switch {
	case err == nil:
		state.version, state.record, state.observed = object.Version, record, m.config.Clock.Now()
		if !state.held && state.wanted && !m.stopped {
			state.held = true
			m.config.OnAcquire(name, record.Token)
		}
	case errors.Is(err, environment.ErrObjectConflict):
		m.conflicted(name)
		return
	}
	if !m.stopped && state.wanted {
		m.scheduleNext(name)
	}
}

// conflicted reads the lease back: the conflict may come from this process's
// own earlier write whose answer was lost, or from a new holder.
func (m *Manager) conflicted(name string) {
	state := m.states[name]
	state.busy = true
	m.config.Objects.Get(objectPrefix+name, func(object environment.Object, err error) {
		state.busy = false
		var record Record
		if err == nil {
			if err = json.Unmarshal(object.Data, &record); err != nil {
				klog.Background().Error(err, "lease is not readable", "lease", name, "version", object.Version)
			}
		}
		if err == nil && state.held {
			if record.Holder == m.config.Self && record.Token == state.record.Token {
				state.version, state.record = object.Version, record
			} else {
				m.lose(name)
			}
		}
		if !m.stopped && state.wanted {
			m.scheduleNext(name)
		}
	})
}
