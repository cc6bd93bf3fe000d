package instance

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// retirementRankDelay is what each further node waits for those before it in rank to
// answer a retirement. It is also the time between two attempts.
const retirementRankDelay = 600 * time.Millisecond

// RetirementCodec reads and writes the status of a retirement.
type RetirementCodec interface {
	// Retired returns whether a status says that the machine may be removed. Its error
	// is that of a status that cannot be read.
	Retired(status []byte) (bool, error)
	// Retirement returns the status that says so.
	Retirement() ([]byte, error)
}

// retirements answers requests to empty a machine. Nothing that lasts is kept
// on any machine's disk, so each may be removed at once.
type retirements struct {
	kind   string
	store  objectstore.Store
	codec  RetirementCodec
	node   string
	nodes  func() []string
	logger klog.Logger
	ctx    context.Context

	mutex   sync.Mutex
	pending map[string]bool
}

// Replace implements watchcache.Sink.
func (r *retirements) Replace(objects []objectstore.Object, _ bool) {
	listed := map[string]bool{}
	for _, object := range objects {
		listed[object.Name] = true
		r.take(object)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.pending, func(machine string, _ bool) bool { return !listed[machine] })
}

// Apply implements watchcache.Sink.
func (r *retirements) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		if change.Deleted {
			r.forget(change.Object.Name)
			continue
		}
		r.take(change.Object)
	}
}

func (r *retirements) take(object objectstore.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retired, err := r.codec.Retired(object.Status)
	if err != nil {
		r.logger.Error(err, "retirement is answered anew", "machine", object.Name)
	}
	if retired {
		delete(r.pending, object.Name)
		return
	}
	if r.pending[object.Name] {
		return
	}
	r.pending[object.Name] = true
	go r.answer(object.Name)
}

// answer writes the status once the nodes before this one have had time to, unless one of
// them has.
func (r *retirements) answer(machine string) {
	if !objectstore.Sleep(r.ctx, time.Duration(r.rank(machine))*retirementRankDelay) {
		return
	}
	status, err := r.codec.Retirement()
	if err != nil {
		r.logger.Error(err, "retirement cannot be answered", "machine", machine)
		return
	}
	for r.isPending(machine) {
		object, err := r.store.ReplaceStatus(r.ctx, r.kind, machine, json.RawMessage(status), objectstore.Unconditional)
		if err == nil {
			r.logger.Info("machine drained, may be removed", "machine", machine, "revision", object.Revision)
			return
		}
		r.logger.Info("retirement not answered", "machine", machine, "error", err.Error())
		if errors.Is(err, objectstore.ErrNotFound) {
			// The platform has withdrawn it.
			r.forget(machine)
			return
		}
		if !objectstore.SleepWithJitter(r.ctx, retirementRankDelay) {
			return
		}
	}
}

// forget ends the answering of a retirement that is gone. A later one of the same machine
// is answered anew.
func (r *retirements) forget(machine string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pending, machine)
}

func (r *retirements) isPending(machine string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pending[machine]
}

// rank is this node's place among those that may answer.
func (r *retirements) rank(machine string) int {
	return slices.Index(rendezvous.RankNames(machine, r.nodes()), r.node)
}
