package reader

import (
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/relay"
)

const (
	// ConfigurationDocument is the head object and relayed document of the
	// configuration in force.
	ConfigurationDocument = "configuration"
	// MachinesDocument is the relayed machine list.
	MachinesDocument = "machines"
	// watchWait is how long one watch request may stay open.
	watchWait = 10 * time.Second
	// machinesPeriod is the time between reads of the machine list.
	machinesPeriod = 2 * time.Second
	firstBackoff   = 250 * time.Millisecond
	maxBackoff     = 8 * time.Second
)

// Head is the content of the configuration's object: the whole generation.
type Head struct {
	Generation uint64 `json:"generation"`
	// WriteID tells whose write this is, for a writer whose answer was lost.
	WriteID string `json:"writeId"`
	// RecentWriteIDs are those of the generations just before.
	RecentWriteIDs []string                   `json:"recentWriteIds,omitempty"`
	Objects        map[string]json.RawMessage `json:"objects"`
}

// Document returns the generation as a relayed document.
func (h *Head) Document() *relay.Document {
	entries := make(map[string][]byte, len(h.Objects))
	for key, data := range h.Objects {
		entries[key] = data
	}
	return relay.NewDocument(ConfigurationDocument, h.Generation, entries)
}

// Config is what a Reader needs.
type Config struct {
	Clock    environment.Clock
	Random   *rand.Rand
	Objects  environment.Objects
	Machines environment.Machines
	// Names are the objects published as documents besides the
	// configuration, each with the function that makes one of its content.
	Names map[string]func(environment.Object) (*relay.Document, error)
	// Publish takes in a document read.
	Publish func(*relay.Document)
}

// Reader follows the object API while it is started. It belongs to one
// goroutine.
type Reader struct {
	config  Config
	active  bool
	round   int
	backoff time.Duration
	// confirmed is true once the object API has answered.
	confirmed bool
}

// New returns a reader that has not started.
func New(config Config) *Reader { return &Reader{config: config, backoff: firstBackoff} }

// Confirmed tells whether the object API has answered this process.
func (r *Reader) Confirmed() bool { return r.confirmed }

// Start begins to read and to watch.
func (r *Reader) Start() {
	if r.active {
		return
	}
	r.active = true
	r.round++
	r.read(r.round)
	r.readMachines(r.round)
}

// Stop ends reading; answers still under way are ignored.
func (r *Reader) Stop() {
	r.active = false
	r.round++
}

// ReadOnce reads the objects once without watching, for a node that starts.
func (r *Reader) ReadOnce(done func(error)) { r.readAll(func(_ uint64, err error) { done(err) }) }

// names lists the objects to read, the configuration first.
func (r *Reader) names() []string {
	names := []string{ConfigurationDocument}
	return append(names, slices.Sorted(maps.Keys(r.config.Names))...)
}

// readAll reads every object and gives the version from which to watch.
func (r *Reader) readAll(done func(uint64, error)) {
	names := r.names()
	waiting, oldest, failure := len(names), uint64(0), error(nil)
	for _, name := range names {
		r.config.Objects.Get(name, func(object environment.Object, err error) {
			waiting--
			switch {
			case err == nil:
				r.publish(object)
				if oldest == 0 || object.Version < oldest {
					oldest = object.Version
				}
			case !errors.Is(err, environment.ErrObjectNotFound):
				failure = err
			}
			if waiting > 0 {
				return
			}
			r.confirmed = r.confirmed || failure == nil
			done(oldest, failure)
		})
	}
}

func (r *Reader) read(round int) {
	r.readAll(func(from uint64, err error) {
		if round != r.round {
			return
		}
		if err != nil {
			r.later(round, r.read)
			return
		}
		r.backoff = firstBackoff
		r.watch(round, from)
	})
}

func (r *Reader) watch(round int, from uint64) {
	r.config.Objects.Watch(r.names(), from, watchWait, func(objects []environment.Object, next uint64, err error) {
		if round != r.round {
			return
		}
		if err != nil {
			// Whatever was missed is found by reading again.
			r.later(round, r.read)
			return
		}
		r.backoff = firstBackoff
		for _, object := range objects {
			r.publish(object)
		}
		r.watch(round, next)
	})
}

func (r *Reader) later(round int, next func(int)) {
	wait := r.backoff/2 + time.Duration(r.config.Random.Int64N(int64(r.backoff)))
	r.backoff = min(2*r.backoff, maxBackoff)
	r.config.Clock.AfterFunc(wait, func() {
		if round == r.round {
			next(round)
		}
	})
}

func (r *Reader) publish(object environment.Object) {
	if object.Name == ConfigurationDocument {
		head := &Head{}
		if err := json.Unmarshal(object.Data, head); err != nil {
			logUnreadable(err, object)
			return
		}
		if head.Generation > 0 {
			r.config.Publish(head.Document())
		}
		return
	}
	convert := r.config.Names[object.Name]
	if convert == nil {
		return
	}
	document, err := convert(object)
	if err != nil {
		logUnreadable(err, object)
		return
	}
	r.config.Publish(document)
}

// logUnreadable tells why an object is passed over.
func logUnreadable(err error, object environment.Object) {
	klog.Background().Error(err, "object is not readable", "object", object.Name, "version", object.Version)
}

func (r *Reader) readMachines(round int) {
	r.config.Machines.List(func(machines []environment.Machine, version uint64, err error) {
		if round != r.round {
			return
		}
		if err == nil && version > 0 {
			entries := make(map[string][]byte, len(machines))
			for _, machine := range machines {
				data, err := json.Marshal(machine)
				if err != nil {
					klog.Background().Error(err, "machine left out of the list", "address", machine.Address)
					continue
				}
				entries[machine.Address] = data
			}
			r.config.Publish(relay.NewDocument(MachinesDocument, version, entries))
		}
		jitter := time.Duration(r.config.Random.Int64N(int64(machinesPeriod) / 4))
		r.config.Clock.AfterFunc(machinesPeriod+jitter, func() {
			if round == r.round {
				r.readMachines(round)
			}
		})
	})
}
