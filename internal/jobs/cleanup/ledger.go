package cleanup

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	ledgerKind = "batchcleanup"
	ledgerName = "progress"
)

// ledgerSpec is the stored form of the ledger.
type ledgerSpec struct {
	// Holder is the node that wrote it.
	Holder string `json:"holder"`
	// Jobs are those that are being deleted.
	Jobs []ledgerJob `json:"jobs"`
}

type ledgerJob struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// ledger lists the jobs that are being deleted, for the next holder. It is one object, replaced
// conditionally, so that a former holder can't overwrite it. It is not safe for concurrent use.
type ledger struct {
	store  objectstore.Store
	holder string
	// jobs is the content of the stored object at revision, valid if loaded is set.
	jobs     []jobstore.EndedJob
	revision uint64
	loaded   bool
}

// load reads the stored ledger unless it is known.
func (l *ledger) load(ctx context.Context) error {
	if l.loaded {
		return nil
	}
	object, err := l.store.Get(ctx, ledgerKind, ledgerName, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.jobs, l.revision, l.loaded = nil, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	var stored ledgerSpec
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return merry.Wrap(err)
	}
	l.jobs = nil
	for _, job := range stored.Jobs {
		l.jobs = append(l.jobs, jobstore.EndedJob{ID: job.ID, Revision: job.Revision})
	}
	l.revision, l.loaded = object.Revision, true
	return nil
}

// replace stores the jobs that are being deleted. After an error the ledger has to be loaded again: the
// write may have been applied, or another node has written.
func (l *ledger) replace(ctx context.Context, jobs []jobstore.EndedJob) error {
	next := ledgerSpec{Holder: l.holder, Jobs: []ledgerJob{}}
	for _, job := range jobs {
		next.Jobs = append(next.Jobs, ledgerJob{ID: job.ID, Revision: job.Revision})
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(err)
	}
	var object objectstore.Object
	if l.revision == 0 {
		object, err = l.store.Create(ctx, ledgerKind, ledgerName, spec)
	} else {
		object, err = l.store.Replace(ctx, ledgerKind, ledgerName, spec, l.revision)
	}
	if err != nil {
		l.loaded = false
		return err
	}
	l.jobs, l.revision = jobs, object.Revision
	return nil
}
