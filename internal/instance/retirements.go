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

// retirementTurn is what each further node waits for those before it to
// answer a retirement.
const retirementTurn = 600 * time.Millisecond

// RetirementCodec reads and writes the status of a retirement.
type RetirementCodec interface {
	// Retired tells whether a status says that the machine may be taken away. The
	// error is that of a status that cannot be read.
	Retired(status []byte) (bool, error)
	// Retirement is the status that says so.
	Retirement() ([]byte, error)
}

// retirements answers requests to empty a machine. Nothing that lasts is kept
// on any machine's disk, so each may be taken away at once.
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
		if change.Gone {
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

// answer writes the status when it is this node's turn and none has before.
func (r *retirements) answer(machine string) {
	if !objectstore.Sleep(r.ctx, time.Duration(r.rank(machine))*retirementTurn) {
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
		if !objectstore.Pause(r.ctx, retirementTurn) {
			return
		}
	}
}

// forget has a retirement that is gone answered no more, and a later one of the same
// machine answered anew.
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
