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

// recover restores what an earlier holder left for a step: a decided manifest
// or stored samples.
func (s *Scheduler) recover(step *stepState) {
	step.phase = phaseRecovering
	s.readManifest(step, 0, nil)
}

// readManifest searches for the newest decided revision, from the given one
// upwards.
func (s *Scheduler) readManifest(step *stepState, revision int, newest []byte) {
	name := registerName(s.config.Trainer, step.request.Step, revision)
	s.config.Registers.Read(name, s.config.Token, func(value []byte, err error) {
		switch {
		case s.stopped:
		case errors.Is(err, quorum.ErrSuperseded):
			s.superseded()
		case err != nil:
			s.runAfter(registerRetryDelay, func() { s.readManifest(step, revision, newest) })
		case value != nil:
			s.readManifest(step, revision+1, value)
		case newest != nil:
			s.adoptManifest(step, newest)
		default:
			s.listSamples(step)
		}
	})
}

// sampleHolders maps each stored sample of a step to the keys of the stores
// that hold it.
type sampleHolders map[wire.SampleReference]map[string]bool

// add records the samples that one store holds.
func (h sampleHolders) add(store wire.Member, found *wire.Samples) {
	for _, sample := range found.Samples {
		reference := wire.SampleReference{Slot: sample.Slot, Digest: sample.Digest}
		if h[reference] == nil {
			h[reference] = map[string]bool{}
		}
		h[reference][storeKey(store)] = true
	}
}

// listSamples asks the stores which samples of the step they hold.
func (s *Scheduler) listSamples(step *stepState) {
	stores := s.usableStores()
	if len(stores) == 0 {
		s.runAfter(registerRetryDelay, func() { s.listSamples(step) })
		return
	}
	responded, holders := 0, sampleHolders{}
	request := &wire.SampleList{Trainer: s.config.Trainer, Step: step.request.Step}
	s.callStores(stores, request, func(store wire.Member, found *wire.Samples) {
		responded++
		holders.add(store, found)
	}, func() {
		if responded == 0 {
			s.runAfter(registerRetryDelay, func() { s.listSamples(step) })
			return
		}
		s.fetchSamples(step, holders)
	})
}

// fetchSamples reads the listed samples to learn their weight versions, then
// generates the missing ones. If a manifest copy is found, it is proposed
// again instead.
func (s *Scheduler) fetchSamples(step *stepState, holders sampleHolders) {
	references := chooseSamples(step, holders)
	if len(references) == 0 {
		s.generate(step)
		return
	}
	var newest []byte
	onFetched := func() {
		if newest == nil {
			s.generate(step)
			return
		}
		s.repropose(step, newest)
	}
	stores := s.usableStores()
	if len(stores) == 0 {
		onFetched()
		return
	}
	s.callStores(stores, s.sampleGet(step, references), func(_ wire.Member, found *wire.Samples) {
		acceptSamples(step, found)
		newest = newestManifest(newest, found)
	}, onFetched)
}

// chooseSamples selects the sample with the most copies for each slot, and
// returns the references to fetch: the selected samples and all manifest
// copies.
func chooseSamples(step *stepState, holders sampleHolders) []wire.SampleReference {
	var references []wire.SampleReference
	for _, reference := range slices.SortedFunc(maps.Keys(holders), wire.SampleReference.Compare) {
		if reference.Slot == manifestSlot {
			// The registers hold no manifest, but one was decided before their
			// data was lost.
			references = append(references, reference)
			continue
		}
		if int(reference.Slot) >= len(step.slots) {
			continue
		}
		current := step.slots[reference.Slot]
		if len(holders[reference]) > len(current.copies) {
			current.digest = reference.Digest
			current.copies = maps.Clone(holders[reference])
		}
	}
	for _, current := range step.slots {
		if current.digest != 0 {
			references = append(references, wire.SampleReference{Slot: current.index, Digest: current.digest})
		}
	}
	return references
}

// newestManifest returns the manifest with the greatest revision among the
// known one and those in a store's response.
func newestManifest(known []byte, found *wire.Samples) []byte {
	newest, revision := known, -1
	if known != nil {
		revision = manifestRevision(known)
	}
	for _, sample := range found.Samples {
		if sample.Slot == manifestSlot && manifestRevision(sample.Data) > revision {
			newest, revision = sample.Data, manifestRevision(sample.Data)
		}
	}
	return newest
}

func manifestRevision(value []byte) int {
	var manifest Manifest
	if err := json.Unmarshal(value, &manifest); err != nil {
		klog.Background().Error(err, "cannot decode stored manifest; ignoring it")
		return -1
	}
	return manifest.Revision
}

// repropose proposes a manifest copy from the stores to its register again.
func (s *Scheduler) repropose(step *stepState, value []byte) {
	step.phase = phaseSealing
	step.revision = manifestRevision(value)
	s.propose(step, value)
}

// generate queues every slot without a usable stored sample.
func (s *Scheduler) generate(step *stepState) {
	step.phase = phaseGenerating
	var found []*slot
	for _, current := range step.slots {
		var sample Sample
		if current.data != nil {
			if err := json.Unmarshal(current.data, &sample); err != nil {
				klog.Background().Error(err, "cannot decode stored sample; regenerating it", "trainer", s.config.Trainer, "step", step.request.Step, "slot", current.index)
			} else {
				current.oldestVersion = stream.LowestVersion(sample.Segments)
			}
		}
		if current.oldestVersion >= s.minVersion(step) && current.oldestVersion > 0 {
			current.state = slotStoring
			found = append(found, current)
			continue
		}
		current.digest, current.data, current.oldestVersion = 0, nil, 0
		current.copies = map[string]bool{}
		step.pending = append(step.pending, current)
	}
	s.sortPending(step)
	for _, current := range found {
		s.replicate(current)
	}
	s.dispatchPending()
}

// expectedTokens returns the expected length of a pending sample: the
// prediction, or the length reached by a running sample of the same prompt if
// that is greater.
func (s *Scheduler) expectedTokens(waiting *slot) float64 {
	tokens := s.predictor.Predict(waiting.prompt)
	samplesPerPrompt := waiting.step.request.SamplesPerPrompt
	first := int(waiting.index) / samplesPerPrompt * samplesPerPrompt
	for _, sibling := range waiting.step.slots[first : first+samplesPerPrompt] {
		for _, running := range sibling.attempts {
			tokens = max(tokens, float64(running.machine.Tokens()))
		}
	}
	return tokens
}

// sortPending sorts the pending slots by the policy.
func (s *Scheduler) sortPending(step *stepState) {
	predictions := make([]prediction, len(step.pending))
	for i, waiting := range step.pending {
		predictions[i] = prediction{
			slot:   waiting.index,
			tokens: s.expectedTokens(waiting),
			sample: int(waiting.index) % step.request.SamplesPerPrompt,
		}
	}
	s.policy().sort(predictions)
	for i, entry := range predictions {
		step.pending[i] = step.slots[entry.slot]
	}
}
