package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// leaseSpec is the stored lease.
type leaseSpec struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	// Writes counts the writes of one process, so that each of them changes
	// the object and with it the revision that successors wait by.
	Writes uint64 `json:"writes"`
	// Released tells that the node sends no more calls.
	Released bool `json:"released,omitempty"`
}

// decodeLease reads the stored lease. One that another writer has put there names no
// holder: it is waited for like any other node, and then replaced. Else nobody could hold
// the lease any more.
func decodeLease(object objectstore.Object) leaseSpec {
	var spec leaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		klog.Background().Error(err, "duty lease is not readable, it is taken for another node's", "revision", object.Revision)
		return leaseSpec{Node: unknownHolder}
	}
	return spec
}

// unknownHolder stands for whoever wrote a lease that cannot be read. No node has the name.
const unknownHolder = "?"

// write puts this node into the lease if it still stands as known, to hold it or
// to give it up.
func (l *Lease) write(ctx context.Context, revision uint64, release bool) error {
	l.mutex.Lock()
	l.writes++
	spec, err := json.Marshal(leaseSpec{Node: l.state.node, Nonce: l.nonce, Writes: l.writes, Released: release})
	l.mutex.Unlock()
	if err != nil {
		return merry.Wrap(err)
	}
	sent := l.clock()
	var object objectstore.Object
	if revision == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, spec)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, spec, revision)
	}
	return l.settle(sent, object, release, err)
}

// settle takes the outcome of a write.
func (l *Lease) settle(sent time.Time, written objectstore.Object, release bool, err error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		standing := decodeLease(conflict.Current)
		l.state.conflicted(l.clock(), standing.Node, conflict.Current.Revision, standing.Released)
	case err != nil:
		l.state.unanswered()
	case release:
		l.state.observe(l.clock(), l.state.node, written.Revision, true)
	default:
		l.state.wrote(sent, written.Revision)
	}
	return err
}

// release gives the lease up, so that a successor need not wait.
func (l *Lease) release(ctx context.Context) error {
	return l.write(ctx, l.Seen().Revision, true)
}
