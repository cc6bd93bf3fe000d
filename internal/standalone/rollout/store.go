package rollout

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/standalone/stream"
	"github.com/pathtally/pathtally/internal/wire"
)

// manifestSlot is the slot number under which stores keep copies of the
// manifest.
const manifestSlot = ^uint32(0)

// storeSample encodes a scored sample and replicates it. The slot is filled
// once enough stores hold a copy.
func (s *Scheduler) storeSample(target *slot, sample Sample) {
	data, err := json.Marshal(sample)
	if err != nil {
		s.logEncodeFailure(err, target)
		s.requeue(target)
		return
	}
	target.state = slotStoring
	target.data = data
	target.digest = xxhash.Sum64(data)
	target.oldestVersion = stream.LowestVersion(sample.Segments)
	s.replicate(target)
}

func (s *Scheduler) logEncodeFailure(err error, target *slot) {
	klog.Background().Error(err, "cannot encode sample; regenerating it", "trainer", s.config.Trainer, "step", target.step.request.Step, "slot", target.index)
}

// storeKey identifies a store and its disk: a store that lost its disk gets a
// different key.
func storeKey(store wire.Member) string {
	return store.ID + "@" + strconv.FormatUint(store.Identity, 36)
}

// storesFor ranks the usable stores for a slot by rendezvous hashing,
// alternating zones.
func (s *Scheduler) storesFor(step uint64, slotIndex uint32) []wire.Member {
	usable := s.usableStores()
	byID := make(map[string]wire.Member, len(usable))
	candidates := make([]rendezvous.Candidate, len(usable))
	for i, member := range usable {
		byID[member.ID] = member
		candidates[i] = rendezvous.Candidate{ID: member.ID, Zone: member.Zone}
	}
	key := fmt.Sprintf("%s/%d/%d", s.config.Trainer, step, slotIndex)
	ranked := make([]wire.Member, 0, len(usable))
	for _, candidate := range rendezvous.RankAcrossZones(key, candidates) {
		ranked = append(ranked, byID[candidate.ID])
	}
	return ranked
}

// storesWithoutCopy returns the highest-ranked stores that lack a copy of a
// slot, as many as there are missing copies.
func (s *Scheduler) storesWithoutCopy(step uint64, slotIndex uint32, holders map[string]bool) []wire.Member {
	missing := s.config.Stores.ReplicationFactor() - len(holders)
	var lacking []wire.Member
	for _, store := range s.storesFor(step, slotIndex) {
		if len(lacking) == missing {
			break
		}
		if !holders[storeKey(store)] {
			lacking = append(lacking, store)
		}
	}
	return lacking
}

// replicate writes a slot's sample to as many further stores as it needs.
func (s *Scheduler) replicate(target *slot) {
	if s.stopped || target.state != slotStoring {
		return
	}
	if len(target.copies) >= s.config.Stores.ReplicationFactor() {
		s.markFilled(target)
		return
	}
	step, digest := target.step.request.Step, target.digest
	lacking := s.storesWithoutCopy(step, target.index, target.copies)
	waiting := len(lacking)
	if waiting == 0 {
		s.replicateLater(target)
		return
	}
	for _, store := range lacking {
		s.put(store, step, target.index, digest, target.data, func(stored bool) {
			waiting--
			if s.stopped || target.digest != digest || target.state != slotStoring {
				return
			}
			if stored {
				target.copies[storeKey(store)] = true
			}
			if len(target.copies) >= s.config.Stores.ReplicationFactor() {
				s.markFilled(target)
				return
			}
			if waiting == 0 {
				s.replicateLater(target)
			}
		})
	}
}

func (s *Scheduler) replicateLater(target *slot) {
	s.config.Clock.AfterFunc(slotRetryDelay, func() { s.replicate(target) })
}

func (s *Scheduler) put(store wire.Member, step uint64, index uint32, digest uint64, data []byte, done func(bool)) {
	put := &wire.SamplePut{Trainer: s.config.Trainer, Step: step, Slot: index, Digest: digest, Data: data, Token: s.config.Token}
	s.config.Peers.Call(store.Address, put, storeTimeout, func(message wire.Message, err error) {
		if remote, refused := asRemoteError(err); refused && remote.Code == wire.CodeStaleToken {
			s.superseded()
			return
		}
		_, stored := message.(*wire.Done)
		done(err == nil && stored)
	})
}

func (s *Scheduler) markFilled(target *slot) {
	target.state = slotFilled
	target.step.unfilled--
	if target.step.unfilled == 0 && target.step.phase == phaseGenerating {
		s.seal(target.step)
	}
}

// superseded stops the scheduler after a holder with a greater fencing token
// was detected.
func (s *Scheduler) superseded() {
	if s.stopped {
		return
	}
	s.Stop()
	if s.config.OnSuperseded != nil {
		s.config.OnSuperseded()
	}
}
