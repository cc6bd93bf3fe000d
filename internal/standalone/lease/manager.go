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
	// DefaultDuration is how long a lease is valid without renewal.
	DefaultDuration = 10 * time.Second
	// renewalsPerDuration is how many times a holder renews per lease duration.
	renewalsPerDuration = 3
	// DefaultYieldRenewals is the usual number of consecutive renewals after
	// which a holder that is not the first candidate releases the lease.
	DefaultYieldRenewals = 4
	// checkBackoffFactor multiplies the time between checks for each further
	// rank, which bounds the total read rate of all candidates.
	checkBackoffFactor = 1.5
	// maxBackoffExponent bounds the exponent of checkBackoffFactor.
	maxBackoffExponent = 16
	// earlyCheckDelay is the minimum delay of an early check; the jitter is at
	// most as long again.
	earlyCheckDelay = 50 * time.Millisecond
	// objectPrefix precedes a lease's name in the object's key.
	objectPrefix = "leases/"
)

// Record is the content of a lease object.
type Record struct {
	// Holder is the Config.Self of the holder; empty means released.
	Holder string `json:"holder"`
	// Token is the fencing token.
	Token uint64 `json:"token"`
	// Renewals changes with each renewal, so that the object's version
	// changes too.
	Renewals uint64 `json:"renewals"`
}

// Config holds the settings and dependencies of a Manager.
type Config struct {
	// Self identifies this process, not only its node: a restarted process
	// must not treat the lease of its predecessor as its own.
	Self    string
	Clock   environment.Clock
	Random  *rand.Rand
	Objects environment.Objects
	// Duration is how long a lease is valid without renewal; zero means
	// DefaultDuration.
	Duration time.Duration
	// Rank returns this node's position among the candidates for a lease: 0
	// for the first, negative if it is not a candidate.
	Rank func(name string) int
	// YieldAfter returns after how many consecutive renewals a holder that is
	// not the first candidate releases a lease, and whether it does at all. Nil
	// means never.
	YieldAfter func(name string) (renewals int, enabled bool)
	// OnAcquire is called when this process acquires a lease.
	OnAcquire func(name string, token uint64)
	// OnLose is called when it releases a lease or finds that it lost it.
	OnLose func(name string)
}

// Manager competes for the wanted leases and renews those that it holds. It is
// not safe for concurrent use: all calls and callbacks run on one goroutine.
type Manager struct {
	config  Config
	states  map[string]*leaseState
	stopped bool
}

// leaseState is what the manager knows about one lease.
type leaseState struct {
	wanted bool
	held   bool
	// record and version are those of the lease object last read or written.
	record  Record
	version uint64
	// observedAt is when a change of the object's version was last seen.
	observedAt time.Time
	timer      environment.Timer
	// inFlight means that a read or a write of the object is in progress.
	inFlight bool
	// outrankedRenewals counts the consecutive renewals made while another
	// node was the first candidate.
	outrankedRenewals int
}

// NewManager returns a manager that competes for no lease yet.
func NewManager(config Config) *Manager {
	if config.Duration == 0 {
		config.Duration = DefaultDuration
	}
	return &Manager{config: config, states: map[string]*leaseState{}}
}

// SetNames sets the names of the leases to compete for and releases held leases
// that are not among them.
func (m *Manager) SetNames(names []string) {
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
		if m.states[name] == nil {
			m.states[name] = &leaseState{}
		}
		if !m.states[name].wanted {
			m.states[name].wanted = true
			m.scheduleCheck(name, 0)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.states)) {
		if m.states[name].wanted && !wanted[name] {
			m.states[name].wanted = false
			m.release(name, func() {})
		}
	}
}

// CheckSoon schedules an early check of a lease whose holder appears to be down.
// A takeover still requires that the lease has expired.
func (m *Manager) CheckSoon(name string) {
	state := m.states[name]
	if m.stopped || state == nil || !state.wanted || state.held || state.inFlight {
		return
	}
	m.scheduleCheck(name, earlyCheckDelay+time.Duration(m.config.Random.Int64N(int64(earlyCheckDelay))))
}

// Held returns the fencing token of a lease and whether this process holds it.
func (m *Manager) Held(name string) (uint64, bool) {
	state := m.states[name]
	if state == nil || !state.held {
		return 0, false
	}
	return state.record.Token, true
}

// HeldNames returns the sorted names of the leases that this process holds.
func (m *Manager) HeldNames() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.states)) {
		if m.states[name].held {
			names = append(names, name)
		}
	}
	return names
}

// Stop releases every held lease, so that other candidates need not wait for
// expiry, and calls done once each release has succeeded or failed.
func (m *Manager) Stop(done func()) {
	m.stopped = true
	names := m.HeldNames()
	pending := len(names)
	if pending == 0 {
		done()
		return
	}
	for _, name := range names {
		m.release(name, func() {
			pending--
			if pending == 0 {
				done()
			}
		})
	}
}

func (m *Manager) markLost(name string) {
	m.states[name].held = false
	m.states[name].outrankedRenewals = 0
	m.config.OnLose(name)
}

// release gives up a held lease and writes a record without a holder, then
// calls done. The token stays in the record, so that the next one is greater.
func (m *Manager) release(name string, done func()) {
	state := m.states[name]
	if !state.held {
		done()
		return
	}
	m.markLost(name)
	data, err := json.Marshal(Record{Token: state.record.Token, Renewals: state.record.Renewals + 1})
	if err != nil {
		klog.Background().Error(err, "failed to encode lease record; lease not released", "lease", name)
		done()
		return
	}
	m.config.Objects.Put(objectPrefix+name, data, state.version, func(environment.Object, error) { done() })
}
