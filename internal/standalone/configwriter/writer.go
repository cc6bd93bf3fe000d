package configwriter

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/reader"
)

const (
	// keptWriteIDs is how many generations back a lost answer can be settled.
	keptWriteIDs = 64
	// settleTries and settleWait bound how long a lost answer is looked for.
	settleTries = 10
	settleWait  = 500 * time.Millisecond
	// rebaseTries bounds how often an automatic change is computed anew.
	rebaseTries = 20
)

// Config is what a Writer needs.
type Config struct {
	Clock   environment.Clock
	Random  *rand.Rand
	Objects environment.Objects
}

// Writer writes configuration generations. It belongs to one goroutine.
type Writer struct{ config Config }

// New returns a writer.
func New(config Config) *Writer { return &Writer{config: config} }

// Change computes the next set from the one in force.
type Change func(current *v1.Set) (*v1.Set, error)

// Result is a write that took effect.
type Result struct {
	Generation uint64
	Changes    []v1.Change
}

// Read returns the configuration in force and its generation, 0 for none.
func (w *Writer) Read(done func(*v1.Set, uint64, error)) {
	w.read(func(state headState, err error) { done(state.set, state.head.Generation, err) })
}

// Write makes one change on top of the configuration in force. A rival write
// in between makes it fail with a *ConflictError.
func (w *Writer) Write(change Change, done func(Result, error)) {
	w.read(func(state headState, err error) {
		if err != nil {
			done(Result{}, err)
			return
		}
		w.writeOn(state, change, done)
	})
}

// writeOn makes one change on top of the configuration read before.
func (w *Writer) writeOn(base headState, change Change, done func(Result, error)) {
	next, err := change(base.set)
	if err != nil {
		done(Result{}, err)
		return
	}
	if findings := next.Validate(); len(findings) > 0 {
		done(Result{}, findings)
		return
	}
	result := Result{Generation: base.head.Generation + 1, Changes: v1.Diff(base.set, next)}
	if len(result.Changes) == 0 {
		result.Generation = base.head.Generation
		done(result, nil)
		return
	}
	data, writeID, err := w.encode(base.head, next)
	if err != nil {
		done(Result{}, err)
		return
	}
	attempt := &attempt{writer: w, base: base, data: data, writeID: writeID, result: result, done: done}
	attempt.put()
}

// WriteRebased makes a change that is independent of what others write, such
// as one more weight version; after a conflict it is computed anew.
func (w *Writer) WriteRebased(change Change, done func(Result, error)) { w.rebase(change, 0, done) }

func (w *Writer) rebase(change Change, tries int, done func(Result, error)) {
	w.Write(change, func(result Result, err error) {
		var conflict *ConflictError
		if !errors.As(err, &conflict) || tries >= rebaseTries {
			done(result, err)
			return
		}
		wait := time.Duration(w.config.Random.Int64N(int64(settleWait) / 4))
		w.config.Clock.AfterFunc(wait, func() { w.rebase(change, tries+1, done) })
	})
}

// headState is the head object as read.
type headState struct {
	head    reader.Head
	set     *v1.Set
	version uint64
}

func (w *Writer) read(done func(headState, error)) {
	w.config.Objects.Get(reader.ConfigurationDocument, func(object environment.Object, err error) {
		if errors.Is(err, environment.ErrObjectNotFound) {
			done(headState{set: v1.NewSet()}, nil)
			return
		}
		if err != nil {
			done(headState{set: v1.NewSet()}, err)
			return
		}
		state := headState{version: object.Version}
		if err := json.Unmarshal(object.Data, &state.head); err != nil {
			done(state, merry.Wrap(err))
			return
		}
		state.set, err = v1.FromEntries(state.head.Document().Entries)
		done(state, err)
	})
}

func (w *Writer) encode(base reader.Head, next *v1.Set) ([]byte, string, error) {
	entries, err := next.Entries()
	if err != nil {
		return nil, "", err
	}
	head := reader.Head{
		Generation:     base.Generation + 1,
		WriteID:        fmt.Sprintf("%016x%016x", w.config.Random.Uint64(), w.config.Random.Uint64()),
		RecentWriteIDs: append([]string{base.WriteID}, base.RecentWriteIDs...),
		Objects:        make(map[string]json.RawMessage, len(entries)),
	}
	head.RecentWriteIDs = head.RecentWriteIDs[:min(keptWriteIDs, len(head.RecentWriteIDs))]
	for key, data := range entries {
		head.Objects[key] = data
	}
	data, err := json.Marshal(head)
	if err != nil {
		return nil, "", merry.Wrap(err)
	}
	return data, head.WriteID, nil
}

// attempt is one write on its way.
type attempt struct {
	writer  *Writer
	base    headState
	data    []byte
	writeID string
	result  Result
	tries   int
	done    func(Result, error)
}

func (a *attempt) put() {
	a.writer.config.Objects.Put(reader.ConfigurationDocument, a.data, a.base.version, func(_ environment.Object, err error) {
		if err == nil {
			a.done(a.result, nil)
			return
		}
		// A conflict, too, may come from this write itself, put a second time.
		a.settle()
	})
}

// settle reads the head back to learn what became of the write.
func (a *attempt) settle() {
	a.writer.read(func(state headState, err error) {
		switch {
		case err != nil:
			a.tries++
			if a.tries >= settleTries {
				a.done(Result{}, merry.Wrap(ErrOutcomeUnknown, merry.WithCause(err)))
				return
			}
			a.writer.config.Clock.AfterFunc(settleWait, a.settle)
		case state.head.WriteID == a.writeID || slices.Contains(state.head.RecentWriteIDs, a.writeID):
			a.done(a.result, nil)
		case state.version == a.base.version && a.tries < settleTries:
			a.tries++
			a.put()
		default:
			a.done(Result{}, &ConflictError{Base: a.base.head.Generation, Current: state.head.Generation, Changes: v1.Diff(a.base.set, state.set)})
		}
	})
}
