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

// manifestSlot is the slot number under which the stores keep a copy of the
// manifest.
const manifestSlot = ^uint32(0)

// keep stores a sample; the slot is filled when enough stores have it.
func (s *Scheduler) keep(filled *slot, sample Sample) {
	data, err := json.Marshal(sample)
	if err != nil {
		s.logNotEncoded(err, filled)
		s.requeue(filled)
		return
	}
	filled.state = slotStoring
	filled.data = data
	filled.digest = xxhash.Sum64(data)
	filled.oldest = stream.LowestVersion(sample.Segments)
	s.replicate(filled)
}

// logNotEncoded tells why a finished sample is generated anew.
func (s *Scheduler) logNotEncoded(err error, filled *slot) {
	klog.Background().Error(err, "sample not encoded and generated anew", "trainer", s.config.Trainer, "step", filled.step.request.Step, "slot", filled.index)
}

// copyName names one store's memory: a store that lost its disk is another.
func copyName(store wire.Member) string {
	return store.ID + "@" + strconv.FormatUint(store.Identity, 36)
}

// storesFor ranks the stores for a slot, alternating zones.
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

// storesLacking returns the first stores in rank for a slot that lack a copy, as
// many as copies are missing.
func (s *Scheduler) storesLacking(step uint64, slotIndex uint32, holders map[string]bool) []wire.Member {
	missing := s.config.Stores.Copies() - len(holders)
	var lacking []wire.Member
	for _, store := range s.storesFor(step, slotIndex) {
		if len(lacking) == missing {
			break
		}
		if !holders[copyName(store)] {
			lacking = append(lacking, store)
		}
	}
	return lacking
}

// replicate puts a slot's sample on as many more stores as it needs.
func (s *Scheduler) replicate(filled *slot) {
	if s.stopped || filled.state != slotStoring {
		return
	}
	if len(filled.copies) >= s.config.Stores.Copies() {
		s.filled(filled)
		return
	}
	step, digest := filled.step.request.Step, filled.digest
	lacking := s.storesLacking(step, filled.index, filled.copies)
	waiting := len(lacking)
	if waiting == 0 {
		s.replicateLater(filled)
		return
	}
	for _, store := range lacking {
		s.put(store, step, filled.index, digest, filled.data, func(stored bool) {
			waiting--
			if s.stopped || filled.digest != digest || filled.state != slotStoring {
				return
			}
			if stored {
				filled.copies[copyName(store)] = true
			}
			if len(filled.copies) >= s.config.Stores.Copies() {
				s.filled(filled)
				return
			}
			if waiting == 0 {
				s.replicateLater(filled)
			}
		})
	}
}

func (s *Scheduler) replicateLater(filled *slot) {
	s.config.Clock.AfterFunc(slotRetry, func() { s.replicate(filled) })
}

func (s *Scheduler) put(store wire.Member, step uint64, index uint32, digest uint64, data []byte, done func(bool)) {
	put := &wire.SamplePut{Trainer: s.config.Trainer, Step: step, Slot: index, Digest: digest, Data: data, Token: s.config.Token}
	s.config.Peers.Call(store.Address, put, storeTimeout, func(message wire.Message, err error) {
		if remote, refused := asRemote(err); refused && remote.Code == wire.CodeStaleToken {
			s.superseded()
			return
		}
		_, stored := message.(*wire.Done)
		done(err == nil && stored)
	})
}

func (s *Scheduler) filled(filled *slot) {
	filled.state = slotFilled
	filled.step.unfilled--
	if filled.step.unfilled == 0 && filled.step.phase == phaseGenerating {
		s.seal(filled.step)
	}
}

// superseded ends this scheduler: another holder has a greater token.
func (s *Scheduler) superseded() {
	if s.stopped {
		return
	}
	s.Stop()
	if s.config.OnSuperseded != nil {
		s.config.OnSuperseded()
	}
}
