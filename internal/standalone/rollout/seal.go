package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/wire"
)

func asRemote(err error) (*wire.RemoteError, bool) {
	var remote *wire.RemoteError
	found := errors.As(err, &remote)
	return remote, found
}

func registerName(trainer string, step uint64, revision int) string {
	return fmt.Sprintf("manifest/%s/%d/%d", trainer, step, revision)
}

// seal proposes the manifest of the filled slots. Whatever the register
// decides stands, be it this proposal or that of an earlier holder.
func (s *Scheduler) seal(step *stepState) {
	step.phase = phaseSealing
	manifest := &Manifest{Trainer: s.config.Trainer, Step: step.request.Step, Revision: step.revision, TrainVersion: step.request.TrainVersion}
	for _, filled := range step.slots {
		manifest.Samples = append(manifest.Samples, ManifestEntry{Slot: filled.index, Digest: filled.digest, Oldest: filled.oldest})
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		s.answer(step, nil, merry.Wrap(err))
		return
	}
	s.propose(step, value)
}

func (s *Scheduler) propose(step *stepState, value []byte) {
	name := registerName(s.config.Trainer, step.request.Step, step.revision)
	s.config.Registers.Propose(name, s.config.Token, value, func(decided []byte, err error) {
		if s.stopped {
			return
		}
		if errors.Is(err, quorum.ErrSuperseded) {
			s.superseded()
			return
		}
		if err != nil {
			s.later(sealRetry, func() { s.propose(step, value) })
			return
		}
		s.copyManifest(step, decided, func() { s.adopt(step, decided) })
	})
}

// copyManifest leaves copies with the stores before the step is handed over,
// so that the same manifest is found again if the quorum is lost as a whole.
func (s *Scheduler) copyManifest(step *stepState, value []byte, done func()) {
	copies := &manifestCopies{scheduler: s, step: step.request.Step, value: value, digest: xxhash.Sum64(value), holders: map[string]bool{}, done: done}
	copies.spread()
}

// adopt takes a decided manifest as the step's content and fetches whatever
// samples of it are not in memory.
func (s *Scheduler) adopt(step *stepState, value []byte) {
	manifest := &Manifest{}
	err := json.Unmarshal(value, manifest)
	if err != nil || len(manifest.Samples) != len(step.slots) {
		klog.Background().Error(err, "decided manifest does not fit the step", "trainer", s.config.Trainer, "step", step.request.Step,
			"samples", len(manifest.Samples), "slots", len(step.slots))
		s.answer(step, nil, merry.Wrap(ErrStepConflict))
		return
	}
	step.manifest = manifest
	step.revision = manifest.Revision
	step.phase = phaseSealing
	step.pending = nil
	var missing []wire.SampleReference
	for i, entry := range manifest.Samples {
		held := step.slots[i]
		s.cancelAttempts(held)
		if held.digest != entry.Digest || held.data == nil {
			missing = append(missing, wire.SampleReference{Slot: entry.Slot, Digest: entry.Digest})
			held.data = nil
		}
		held.state, held.digest, held.oldest = slotFilled, entry.Digest, entry.Oldest
	}
	step.unfilled = 0
	if len(missing) == 0 {
		s.sealed(step)
		return
	}
	step.gathering = s.config.Clock.Now()
	s.gather(step, missing)
}

// lostSlots lists the slots of a manifest whose sample no store has returned.
func lostSlots(step *stepState) []*slot {
	var lost []*slot
	for _, held := range step.slots {
		if held.data == nil {
			lost = append(lost, held)
		}
	}
	return lost
}

// replace generates some slots of a decided manifest anew, for the next
// revision of the step.
func (s *Scheduler) replace(step *stepState, slots []*slot) {
	step.phase = phaseGenerating
	step.revision++
	step.manifest = nil
	for _, replaced := range slots {
		s.requeue(replaced)
	}
	s.pump()
}

// gather asks every store for samples, and goes on asking while any is
// missing: a store that is away may come back.
func (s *Scheduler) gather(step *stepState, missing []wire.SampleReference) {
	stores := s.usableStores()
	if len(stores) == 0 {
		s.later(sealRetry, func() { s.gather(step, missing) })
		return
	}
	s.askStores(stores, s.sampleGet(step, missing), func(_ wire.Member, found *wire.Samples) {
		takeSamples(step, found)
	}, func() {
		if step.phase == phaseSealing {
			s.gathered(step, missing)
		}
	})
}

// gathered goes on when all stores have been asked once.
func (s *Scheduler) gathered(step *stepState, missing []wire.SampleReference) {
	lost := lostSlots(step)
	if len(lost) == 0 {
		s.sealed(step)
		return
	}
	if s.config.Clock.Now().Sub(step.gathering) > lossTimeout {
		s.replace(step, lost)
		return
	}
	s.answer(step, nil, merry.Wrap(ErrSampleLost))
	s.later(sealRetry, func() { s.gather(step, missing) })
}

// takeSamples puts samples that stores returned into their slots.
func takeSamples(step *stepState, found *wire.Samples) {
	for _, sample := range found.Samples {
		if int(sample.Slot) >= len(step.slots) {
			continue
		}
		held := step.slots[sample.Slot]
		if held.digest == sample.Digest && xxhash.Sum64(sample.Data) == sample.Digest {
			held.data = sample.Data
		}
	}
}

func (s *Scheduler) sealed(step *stepState) {
	step.phase = phaseSealed
	s.handOver(step)
	s.pump()
}

// handOver answers the waiting trainer. A sample that has become too old for
// the version that the trainer will train is not delivered but replaced, in a
// new revision. That holds for an acknowledged step too: a trainer that asks
// for one again has not trained it.
func (s *Scheduler) handOver(step *stepState) {
	if len(step.waiters) == 0 {
		return
	}
	bound := s.bound(step)
	var stale []*slot
	for _, held := range step.slots {
		if held.oldest < bound {
			stale = append(stale, held)
		}
	}
	if len(stale) > 0 {
		step.acked = false
		s.replace(step, stale)
		return
	}
	body, err := stepBody(step)
	s.answer(step, body, err)
}

// stepBody is the manifest and the samples as JSON lines, the same bytes for
// the same manifest.
func stepBody(step *stepState) ([]byte, error) {
	header, err := json.Marshal(step.manifest)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var body bytes.Buffer
	body.Write(header)
	body.WriteByte('\n')
	for _, held := range step.slots {
		body.Write(held.data)
		body.WriteByte('\n')
	}
	return body.Bytes(), nil
}
