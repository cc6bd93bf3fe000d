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

// retirementRankDelay is how long a node waits for each node ranked before it to mark a
// machine as retired. It is also the time between two attempts.
const retirementRankDelay = 600 * time.Millisecond

// RetirementCodec encodes and decodes the status of a retirement, the platform's request to
// drain a machine.
type RetirementCodec interface {
	// IsRetired reports whether a status says that the machine may be removed. Its error
	// means that the status cannot be decoded.
	IsRetired(status []byte) (bool, error)
	// RetiredStatus returns the status that says that the machine may be removed.
	RetiredStatus() ([]byte, error)
}

// retirements marks machines as retired on request. Nodes keep no durable state on the disk
// of a machine, so it may be removed at once.
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
		r.update(object)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.pending, func(machine string, _ bool) bool { return !listed[machine] })
}

// Apply implements watchcache.Sink.
func (r *retirements) Apply(changes []objectstore.Change, _ bool) {
	for _, change := range changes {
		if change.Deleted {
			r.remove(change.Object.Name)
			continue
		}
		r.update(change.Object)
	}
}

func (r *retirements) update(object objectstore.Object) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	retired, err := r.codec.IsRetired(object.Status)
	if err != nil {
		r.logger.Error(err, "failed to read retirement status, overwriting it", "machine", object.Name)
	}
	if retired {
		delete(r.pending, object.Name)
		return
	}
	if r.pending[object.Name] {
		return
	}
	r.pending[object.Name] = true
	go r.complete(object.Name)
}

// complete writes the status, unless a node that precedes this one in rank does so first.
func (r *retirements) complete(machine string) {
	if !objectstore.Sleep(r.ctx, time.Duration(r.rank(machine))*retirementRankDelay) {
		return
	}
	status, err := r.codec.RetiredStatus()
	if err != nil {
		r.logger.Error(err, "failed to encode retirement status", "machine", machine)
		return
	}
	for r.isPending(machine) {
		object, err := r.store.ReplaceStatus(r.ctx, r.kind, machine, json.RawMessage(status), objectstore.Unconditional)
		if err == nil {
			r.logger.Info("machine retired, may be removed", "machine", machine, "revision", object.Revision)
			return
		}
		r.logger.Info("failed to write retirement status", "machine", machine, "error", err.Error())
		if errors.Is(err, objectstore.ErrNotFound) {
			// The platform has withdrawn the retirement.
			r.remove(machine)
			return
		}
		if !objectstore.SleepWithJitter(r.ctx, retirementRankDelay) {
			return
		}
	}
}

// remove stops the processing of a retirement that no longer exists. A later one of the
// same machine is processed again.
func (r *retirements) remove(machine string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.pending, machine)
}

func (r *retirements) isPending(machine string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pending[machine]
}

// rank returns this node's rank for a machine among the known nodes, 0 for the first.
func (r *retirements) rank(machine string) int {
	return slices.Index(rendezvous.RankNames(machine, r.nodes()), r.node)
}
