package lease

import (
	"encoding/json"
	"errors"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
)

// scheduleCheck sets the timer of a lease's next check and replaces an earlier one.
func (m *Manager) scheduleCheck(name string, delay time.Duration) {
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

// scheduleNextCheck schedules the next periodic check, with jitter. The holder
// and the first candidate check several times per lease duration; any other
// candidate checks less often the lower its rank.
func (m *Manager) scheduleNextCheck(name string) {
	period := m.config.Duration / renewalsPerDuration
	state := m.states[name]
	if rank := m.config.Rank(name); !state.held && rank != 0 {
		period = time.Duration(float64(m.config.Duration) * math.Pow(checkBackoffFactor, float64(min(max(rank, 1)-1, maxBackoffExponent))))
	}
	jitter := time.Duration(m.config.Random.Int64N(int64(period)/5 + 1))
	m.scheduleCheck(name, period+jitter-period/10)
}

// check renews or yields a lease that this node holds. Otherwise it reads the
// lease object to see whether the lease is free or expired.
func (m *Manager) check(name string) {
	state := m.states[name]
	if state.inFlight {
		m.scheduleNextCheck(name)
		return
	}
	if !state.held && m.config.Rank(name) < 0 {
		m.scheduleNextCheck(name)
		return
	}
	if state.held && m.shouldYield(name) {
		m.release(name, func() {})
		m.scheduleNextCheck(name)
		return
	}
	if state.held {
		record := state.record
		record.Renewals++
		m.write(name, record)
		return
	}
	state.inFlight = true
	m.config.Objects.Get(objectPrefix+name, func(object environment.Object, err error) {
		state.inFlight = false
		if m.stopped || !state.wanted {
			return
		}
		m.handleRead(name, object, err)
	})
}

// shouldYield reports whether another node has been the first candidate for
// enough renewals in a row. Yielding spreads the leases over the nodes again
// after a start in which the first node acquired them all.
func (m *Manager) shouldYield(name string) bool {
	state := m.states[name]
	renewals, enabled := 0, false
	if m.config.YieldAfter != nil {
		renewals, enabled = m.config.YieldAfter(name)
	}
	if !enabled || m.config.Rank(name) == 0 {
		state.outrankedRenewals = 0
		return false
	}
	state.outrankedRenewals++
	return state.outrankedRenewals > renewals
}

// handleRead handles the result of a candidate's read: it tries to acquire a
// lease that is missing, released or expired.
func (m *Manager) handleRead(name string, object environment.Object, err error) {
	state := m.states[name]
	if errors.Is(err, environment.ErrObjectNotFound) {
		state.version = 0
		m.write(name, Record{Holder: m.config.Self, Token: 1})
		return
	}
	if err != nil {
		m.scheduleNextCheck(name)
		return
	}
	var record Record
	if err := json.Unmarshal(object.Data, &record); err != nil {
		klog.Background().Error(err, "failed to decode lease object; treating the lease as free", "lease", name, "version", object.Version)
		record = Record{}
	}
	now := m.config.Clock.Now()
	if object.Version != state.version {
		state.version, state.record, state.observedAt = object.Version, record, now
	}
	expired := now.Sub(state.observedAt) >= m.config.Duration
	ownRecord := record.Holder == m.config.Self
	if record.Holder == "" || expired || ownRecord {
		// A record that names this process comes from its own write whose
		// response was lost. Writing again with a greater token resolves it.
		m.write(name, Record{Holder: m.config.Self, Token: record.Token + 1})
		return
	}
	m.scheduleNextCheck(name)
}

func (m *Manager) write(name string, record Record) {
	state := m.states[name]
	data, err := json.Marshal(record)
	if err != nil {
		klog.Background().Error(err, "failed to encode lease record; lease not written", "lease", name)
		m.scheduleNextCheck(name)
		return
	}
	state.inFlight = true
	m.config.Objects.Put(objectPrefix+name, data, state.version, func(object environment.Object, err error) {
		state.inFlight = false
		m.handleWriteResult(name, record, object, err)
	})
}

// handleWriteResult handles the result of a write that acquires or renews a lease.
func (m *Manager) handleWriteResult(name string, record Record, object environment.Object, err error) {
	state := m.states[name]
	switch {
	case err == nil:
		state.version, state.record, state.observedAt = object.Version, record, m.config.Clock.Now()
		if !state.held && state.wanted && !m.stopped {
			state.held = true
			m.config.OnAcquire(name, record.Token)
		}
	case errors.Is(err, environment.ErrObjectConflict):
		m.resolveConflict(name)
		return
	}
	if !m.stopped && state.wanted {
		m.scheduleNextCheck(name)
	}
}

// resolveConflict reads the lease object after a write conflict, which is
// caused either by this process's own earlier write whose response was lost or
// by a new holder. In the second case a held lease is marked as lost.
func (m *Manager) resolveConflict(name string) {
	state := m.states[name]
	state.inFlight = true
	m.config.Objects.Get(objectPrefix+name, func(object environment.Object, err error) {
		state.inFlight = false
		var record Record
		if err == nil {
			if err = json.Unmarshal(object.Data, &record); err != nil {
				klog.Background().Error(err, "failed to decode lease object after a write conflict", "lease", name, "version", object.Version)
			}
		}
		if err == nil && state.held {
			if record.Holder == m.config.Self && record.Token == state.record.Token {
				state.version, state.record = object.Version, record
			} else {
				m.markLost(name)
			}
		}
		if !m.stopped && state.wanted {
			m.scheduleNextCheck(name)
		}
	})
}
