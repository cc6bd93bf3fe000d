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

func asRemoteError(err error) (*wire.RemoteError, bool) {
	var remote *wire.RemoteError
	found := errors.As(err, &remote)
	return remote, found
}

func registerName(trainer string, step uint64, revision int) string {
	return fmt.Sprintf("manifest/%s/%d/%d", trainer, step, revision)
}

// seal proposes the manifest of the filled slots. The manifest that the
// register decides is binding, whether it is this proposal or that of an
// earlier holder.
func (s *Scheduler) seal(step *stepState) {
	step.phase = phaseSealing
	manifest := &Manifest{Trainer: s.config.Trainer, Step: step.request.Step, Revision: step.revision, TrainVersion: step.request.TrainVersion}
	for _, filled := range step.slots {
		manifest.Samples = append(manifest.Samples, ManifestEntry{Slot: filled.index, Digest: filled.digest, OldestVersion: filled.oldestVersion})
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		s.completeFetches(step, nil, merry.Wrap(err))
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
			s.runAfter(registerRetryDelay, func() { s.propose(step, value) })
			return
		}
		s.replicateManifest(step, decided, func() { s.adoptManifest(step, decided) })
	})
}

// replicateManifest writes copies of the manifest to the stores before the
// step is delivered, so that the same manifest can be recovered if the whole
// quorum is lost.
func (s *Scheduler) replicateManifest(step *stepState, value []byte, done func()) {
	replicator := &manifestReplicator{scheduler: s, step: step.request.Step, value: value, digest: xxhash.Sum64(value), holders: map[string]bool{}, done: done}
	replicator.replicate()
}

// adoptManifest makes a decided manifest the content of the step and fetches
// the samples that are not in memory.
func (s *Scheduler) adoptManifest(step *stepState, value []byte) {
	manifest := &Manifest{}
	err := json.Unmarshal(value, manifest)
	if err != nil || len(manifest.Samples) != len(step.slots) {
		klog.Background().Error(err, "decided manifest is invalid or does not match the step", "trainer", s.config.Trainer, "step", step.request.Step,
			"samples", len(manifest.Samples), "slots", len(step.slots))
		s.completeFetches(step, nil, merry.Wrap(ErrStepConflict))
		return
	}
	step.manifest = manifest
	step.revision = manifest.Revision
	step.phase = phaseSealing
	step.pending = nil
	var missing []wire.SampleReference
	for i, entry := range manifest.Samples {
		current := step.slots[i]
		s.cancelAttempts(current)
		if current.digest != entry.Digest || current.data == nil {
			missing = append(missing, wire.SampleReference{Slot: entry.Slot, Digest: entry.Digest})
			current.data = nil
		}
		current.state, current.digest, current.oldestVersion = slotFilled, entry.Digest, entry.OldestVersion
	}
	step.unfilled = 0
	if len(missing) == 0 {
		s.markSealed(step)
		return
	}
	step.fetchingSince = s.config.Clock.Now()
	s.fetchMissing(step, missing)
}

// slotsWithoutData returns the slots whose sample no store has returned.
func slotsWithoutData(step *stepState) []*slot {
	var lost []*slot
	for _, current := range step.slots {
		if current.data == nil {
			lost = append(lost, current)
		}
	}
	return lost
}

// regenerate requeues slots of a decided manifest for the next revision of the
// step.
func (s *Scheduler) regenerate(step *stepState, slots []*slot) {
	step.phase = phaseGenerating
	step.revision++
	step.manifest = nil
	for _, replaced := range slots {
		s.requeue(replaced)
	}
	s.dispatchPending()
}

// fetchMissing asks every store for the missing samples and retries until all
// are found or missingSampleTimeout has passed, since an unreachable store may
// return.
func (s *Scheduler) fetchMissing(step *stepState, missing []wire.SampleReference) {
	stores := s.usableStores()
	if len(stores) == 0 {
		s.runAfter(registerRetryDelay, func() { s.fetchMissing(step, missing) })
		return
	}
	s.callStores(stores, s.sampleGet(step, missing), func(_ wire.Member, found *wire.Samples) {
		acceptSamples(step, found)
	}, func() {
		if step.phase == phaseSealing {
			s.afterFetchMissing(step, missing)
		}
	})
}

// afterFetchMissing continues after every store has responded or failed.
func (s *Scheduler) afterFetchMissing(step *stepState, missing []wire.SampleReference) {
	lost := slotsWithoutData(step)
	if len(lost) == 0 {
		s.markSealed(step)
		return
	}
	if s.config.Clock.Now().Sub(step.fetchingSince) > missingSampleTimeout {
		s.regenerate(step, lost)
		return
	}
	s.completeFetches(step, nil, merry.Wrap(ErrSampleLost))
	s.runAfter(registerRetryDelay, func() { s.fetchMissing(step, missing) })
}

// acceptSamples copies returned samples with a matching digest into their
// slots.
func acceptSamples(step *stepState, found *wire.Samples) {
	for _, sample := range found.Samples {
		if int(sample.Slot) >= len(step.slots) {
			continue
		}
		current := step.slots[sample.Slot]
		if current.digest == sample.Digest && xxhash.Sum64(sample.Data) == sample.Digest {
			current.data = sample.Data
		}
	}
}

func (s *Scheduler) markSealed(step *stepState) {
	step.phase = phaseSealed
	s.deliver(step)
	s.dispatchPending()
}

// deliver completes the waiting fetches of a sealed step. If a sample is too
// stale for the version to be trained, it is regenerated in a new revision
// instead. This applies to an acknowledged step too: a trainer that fetches it
// again has not trained it.
func (s *Scheduler) deliver(step *stepState) {
	if len(step.waiters) == 0 {
		return
	}
	minVersion := s.minVersion(step)
	var stale []*slot
	for _, current := range step.slots {
		if current.oldestVersion < minVersion {
			stale = append(stale, current)
		}
	}
	if len(stale) > 0 {
		step.acked = false
		s.regenerate(step, stale)
		return
	}
	body, err := stepBody(step)
	s.completeFetches(step, body, err)
}

// stepBody encodes the manifest and its samples as JSON lines. The encoding is
// deterministic.
func stepBody(step *stepState) ([]byte, error) {
	header, err := json.Marshal(step.manifest)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var body bytes.Buffer
	body.Write(header)
	body.WriteByte('\n')
	for _, current := range step.slots {
		body.Write(current.data)
		body.WriteByte('\n')
	}
	return body.Bytes(), nil
}
