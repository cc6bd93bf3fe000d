package rollout

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// recover finds out what an earlier holder has done for a step: a manifest
// that was decided, or samples that are stored.
func (s *Scheduler) recover(step *stepState) {
	step.phase = phaseRecovering
	s.readManifest(step, 0, nil)
}

// readManifest looks for the newest decided revision.
func (s *Scheduler) readManifest(step *stepState, revision int, newest []byte) {
	name := registerName(s.config.Trainer, step.request.Step, revision)
	s.config.Registers.Read(name, s.config.Token, func(value []byte, err error) {
		switch {
		case s.stopped:
		case errors.Is(err, quorum.ErrSuperseded):
			s.superseded()
		case err != nil:
			s.later(sealRetry, func() { s.readManifest(step, revision, newest) })
		case value != nil:
			s.readManifest(step, revision+1, value)
		case newest != nil:
			s.adopt(step, newest)
		default:
			s.listSamples(step)
		}
	})
}

// listed are the samples of a step that stores hold, each with the copies of it
// that they have.
type listed map[wire.SampleReference]map[string]bool

// add records what one store holds.
func (l listed) add(store wire.Member, found *wire.Samples) {
	for _, sample := range found.Samples {
		reference := wire.SampleReference{Slot: sample.Slot, Digest: sample.Digest}
		if l[reference] == nil {
			l[reference] = map[string]bool{}
		}
		l[reference][copyName(store)] = true
	}
}

// listSamples asks the stores which samples of the step they hold.
func (s *Scheduler) listSamples(step *stepState) {
	stores := s.usableStores()
	if len(stores) == 0 {
		s.later(sealRetry, func() { s.listSamples(step) })
		return
	}
	answered, holders := 0, listed{}
	request := &wire.SampleList{Trainer: s.config.Trainer, Step: step.request.Step}
	s.askStores(stores, request, func(store wire.Member, found *wire.Samples) {
		answered++
		holders.add(store, found)
	}, func() {
		if answered == 0 {
			s.later(sealRetry, func() { s.listSamples(step) })
			return
		}
		s.fetchListed(step, holders)
	})
}

// fetchListed reads the samples found, so that their versions are known, and
// then generates what is missing.
func (s *Scheduler) fetchListed(step *stepState, holders listed) {
	references := chooseSamples(step, holders)
	if len(references) == 0 {
		s.generate(step)
		return
	}
	var newest []byte
	fetched := func() {
		if newest == nil {
			s.generate(step)
			return
		}
		s.repropose(step, newest)
	}
	stores := s.usableStores()
	if len(stores) == 0 {
		fetched()
		return
	}
	s.askStores(stores, s.sampleGet(step, references), func(_ wire.Member, found *wire.Samples) {
		takeSamples(step, found)
		newest = newestManifest(newest, found)
	}, fetched)
}

// chooseSamples takes for each slot the sample with the most copies, and returns
// what is to be read: these, and the copies of manifests.
func chooseSamples(step *stepState, holders listed) []wire.SampleReference {
	var references []wire.SampleReference
	for _, reference := range slices.SortedFunc(maps.Keys(holders), wire.SampleReference.Compare) {
		if reference.Slot == manifestSlot {
			// The registers know of no manifest, but one was decided before
			// they were lost.
			references = append(references, reference)
			continue
		}
		if int(reference.Slot) >= len(step.slots) {
			continue
		}
		held := step.slots[reference.Slot]
		if len(holders[reference]) > len(held.copies) {
			held.digest = reference.Digest
			held.copies = maps.Clone(holders[reference])
		}
	}
	for _, held := range step.slots {
		if held.digest != 0 {
			references = append(references, wire.SampleReference{Slot: held.index, Digest: held.digest})
		}
	}
	return references
}

// newestManifest returns the manifest of the greatest revision among one known
// and those that a store returned.
func newestManifest(known []byte, found *wire.Samples) []byte {
	newest, revision := known, -1
	if known != nil {
		revision = revisionOf(known)
	}
	for _, sample := range found.Samples {
		if sample.Slot == manifestSlot && revisionOf(sample.Data) > revision {
			newest, revision = sample.Data, revisionOf(sample.Data)
		}
	}
	return newest
}

func revisionOf(value []byte) int {
	var manifest Manifest
	if err := json.Unmarshal(value, &manifest); err != nil {
		klog.Background().Error(err, "manifest is not readable and passed over")
		return -1
	}
	return manifest.Revision
}

// repropose puts a manifest that the stores kept back into its register.
func (s *Scheduler) repropose(step *stepState, value []byte) {
	step.phase = phaseSealing
	step.revision = revisionOf(value)
	s.propose(step, value)
}

// generate queues every slot for which nothing usable was found.
func (s *Scheduler) generate(step *stepState) {
	step.phase = phaseGenerating
	var found []*slot
	for _, held := range step.slots {
		var sample Sample
		if held.data != nil {
			if err := json.Unmarshal(held.data, &sample); err != nil {
				klog.Background().Error(err, "stored sample is not readable and generated anew", "trainer", s.config.Trainer, "step", step.request.Step, "slot", held.index)
			} else {
				held.oldest = stream.LowestVersion(sample.Segments)
			}
		}
		if held.oldest >= s.bound(step) && held.oldest > 0 {
			held.state = slotStoring
			found = append(found, held)
			continue
		}
		held.digest, held.data, held.oldest = 0, nil, 0
		held.copies = map[string]bool{}
		step.pending = append(step.pending, held)
	}
	s.orderPending(step)
	for _, held := range found {
		s.replicate(held)
	}
	s.pump()
}

// expected is the length expected of a waiting sample: at least what running
// samples of the same prompt have reached.
func (s *Scheduler) expected(waiting *slot) float64 {
	tokens := s.predictor.Predict(waiting.prompt)
	group := waiting.step.request.SamplesPerPrompt
	first := int(waiting.index) / group * group
	for _, mate := range waiting.step.slots[first : first+group] {
		for _, running := range mate.attempts {
			tokens = max(tokens, float64(running.machine.Tokens()))
		}
	}
	return tokens
}

// orderPending sorts the waiting slots as the policy wants them.
func (s *Scheduler) orderPending(step *stepState) {
	predictions := make([]prediction, len(step.pending))
	for i, waiting := range step.pending {
		predictions[i] = prediction{
			slot:   waiting.index,
			tokens: s.expected(waiting),
			sample: int(waiting.index) % step.request.SamplesPerPrompt,
		}
	}
	s.policy().order(predictions)
	for i, predicted := range predictions {
		step.pending[i] = step.slots[predicted.slot]
	}
}
