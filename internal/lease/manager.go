package lease

import (
	"encoding/json"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
)

const (
	// DefaultTerm is how long a lease stands without renewal.
	DefaultTerm = 10 * time.Second
	// renewShare is the part of the term after which a holder renews.
	renewShare = 3
	// yieldRenewals is how many renewals in a row a holder that is not the
	// first candidate waits before it gives the lease to that one.
	yieldRenewals = 4
	// rankGrowth stretches the time between looks of each further candidate,
	// so that all candidates together read a bounded amount.
	rankGrowth = 1.5
	// maxRank bounds the growth, and with it the wait of the last candidate.
	maxRank = 16
	// promptDelay is how soon a candidate looks when it has a reason to.
	promptDelay = 50 * time.Millisecond
	// objectPrefix is put before a lease's name in the object API.
	objectPrefix = "leases/"
)

// Record is the content of a lease object.
type Record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Renewals changes with each renewal, so that the object's version does.
	Renewals uint64 `json:"renewals"`
}

// Config is what a Manager needs.
type Config struct {
	// Self is unique to this process, not only to this node: a process that
	// starts again must not take the lease of its predecessor for its own.
	Self    string
	Clock   environment.Clock
	Random  *rand.Rand
	Objects environment.Objects
	// Term is how long a lease stands without renewal; zero means DefaultTerm.
	Term time.Duration
	// Rank is this node's place among the candidates, from 0; negative means
	// that it is none.
	Rank func(name string) int
	// MayYield tells whether a lease may be given to the first candidate when
	// this node is not it; nil means never.
	MayYield func(name string) bool
	// OnAcquire and OnLose tell of this node's leases.
	OnAcquire func(name string, token uint64)
	OnLose    func(name string)
}

// Manager competes for the wanted leases and renews those held. It belongs to
// one goroutine.
type Manager struct {
	config  Config
	states  map[string]*state
	stopped bool
}

type state struct {
	wanted   bool
	held     bool
	record   Record
	version  uint64
	observed time.Time
	timer    environment.Timer
	busy     bool
	// outranked counts the renewals made while not the first candidate.
	outranked int
}

// NewManager returns a manager that wants nothing yet.
func NewManager(config Config) *Manager {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	return &Manager{config: config, states: map[string]*state{}}
}

// Want sets the names competed for; leases no longer wanted are released.
func (m *Manager) Want(names []string) {
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
		if m.states[name] == nil {
			m.states[name] = &state{}
		}
		if !m.states[name].wanted {
			m.states[name].wanted = true
			m.schedule(name, 0)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.states)) {
		if m.states[name].wanted && !wanted[name] {
			m.states[name].wanted = false
			m.release(name, func() {})
		}
	}
}

// Prompt has a candidate look at a lease soon, because its holder seems to be
// gone. It takes over only if the lease has expired all the same.
func (m *Manager) Prompt(name string) {
	state := m.states[name]
	if m.stopped || state == nil || !state.wanted || state.held || state.busy {
		return
	}
	m.schedule(name, promptDelay+time.Duration(m.config.Random.Int64N(int64(promptDelay))))
}

// Held returns the token of a lease held here.
func (m *Manager) Held(name string) (uint64, bool) {
	state := m.states[name]
	if state == nil || !state.held {
		return 0, false
	}
	return state.record.Token, true
}

// HeldNames lists the leases held here, in order.
func (m *Manager) HeldNames() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.states)) {
		if m.states[name].held {
			names = append(names, name)
		}
	}
	return names
}

// Stop releases every lease, so that others need not wait for its term, and
// calls done when the object API has answered for all of them.
func (m *Manager) Stop(done func()) {
	m.stopped = true
	names := m.HeldNames()
	waiting := len(names)
	if waiting == 0 {
		done()
		return
	}
	for _, name := range names {
		m.release(name, func() {
			waiting--
			if waiting == 0 {
				done()
			}
		})
	}
}

// schedule plans the next look at a lease. A holder looks thrice a term; a
// candidate the more seldom the lower it ranks.
func (m *Manager) schedule(name string, delay time.Duration) {
	state := m.states[name]
	if state.timer != nil {
		state.timer.Stop()
	}
	state.timer = m.config.Clock.AfterFunc(delay, func() {
		if m.stopped || !state.wanted {
			return
		}
		m.look(name)
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

func (m *Manager) look(name string) {
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
	if m.config.MayYield == nil || !m.config.MayYield(name) || m.config.Rank(name) == 0 {
		state.outranked = 0
		return false
	}
	state.outranked++
	return state.outranked > yieldRenewals
}

// observe decides what a candidate does about the lease as it stands.
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
	if json.Unmarshal(object.Data, &record) != nil {
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
			err = json.Unmarshal(object.Data, &record)
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

func (m *Manager) lose(name string) {
	m.states[name].held = false
	m.states[name].outranked = 0
	m.config.OnLose(name)
}

func (m *Manager) release(name string, done func()) {
	state := m.states[name]
	if !state.held {
		done()
		return
	}
	m.lose(name)
	data, err := json.Marshal(Record{Token: state.record.Token, Renewals: state.record.Renewals + 1})
	if err != nil {
		done()
		return
	}
	m.config.Objects.Put(objectPrefix+name, data, state.version, func(environment.Object, error) { done() })
}
