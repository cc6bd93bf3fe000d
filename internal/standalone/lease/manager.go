package lease

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
)

const (
	// DefaultTerm is how long a lease stands without renewal.
	DefaultTerm = 10 * time.Second
	// renewShare is the part of the term after which a holder renews.
	renewShare = 3
	// DefaultYieldRenewals is how many renewals in a row a holder that is not
	// the first candidate usually waits before it gives the lease to that one.
	DefaultYieldRenewals = 4
	// rankGrowth stretches the time between checks of each further candidate,
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
	// YieldAfter tells after how many renewals in a row a lease is given to the
	// first candidate when this node is not it; nil means never.
	YieldAfter func(name string) (renewals int, may bool)
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

// Prompt has a candidate check a lease soon, because its holder seems to be
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
		klog.Background().Error(err, "lease not released", "lease", name)
		done()
		return
	}
	m.config.Objects.Put(objectPrefix+name, data, state.version, func(environment.Object, error) { done() })
}
