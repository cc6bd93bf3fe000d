package samplestore

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pathtally/pathtally/internal/standalone/recordlog"
	"github.com/pathtally/pathtally/internal/wire"
)

// segmentPrefix is put before the names of the store's segments.
const segmentPrefix = "samples-"

// KeptSteps is how many steps of a trainer are kept, counted from the newest.
const KeptSteps = 16

// Store is the index over a record log. It belongs to one goroutine.
type Store struct {
	log      recordlog.Log
	trainers map[string]*trainerState
}

type trainerState struct {
	token uint64
	steps map[uint64]map[wire.SampleReference][]byte
}

// entry is the form of a record in the log.
type entry struct {
	Trainer string `json:"trainer"`
	Step    uint64 `json:"step"`
	Slot    uint32 `json:"slot"`
	Digest  uint64 `json:"digest"`
	Data    []byte `json:"data"`
}

// Open reads the log and returns the store over it.
func Open(log recordlog.Log) (*Store, error) {
	store := &Store{log: log, trainers: map[string]*trainerState{}}
	records, err := log.Recover()
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		if !strings.HasPrefix(record.Segment, segmentPrefix) {
			continue
		}
		var found entry
		if json.Unmarshal(record.Data, &found) == nil {
			store.index(found)
		}
	}
	return store, nil
}

func segmentName(trainer string, step uint64) string {
	return fmt.Sprintf("%s%s-%08d", segmentPrefix, trainer, step)
}

func (s *Store) trainer(name string) *trainerState {
	state := s.trainers[name]
	if state == nil {
		state = &trainerState{steps: map[uint64]map[wire.SampleReference][]byte{}}
		s.trainers[name] = state
	}
	return state
}

func (s *Store) index(found entry) {
	state := s.trainer(found.Trainer)
	if state.steps[found.Step] == nil {
		state.steps[found.Step] = map[wire.SampleReference][]byte{}
	}
	state.steps[found.Step][wire.SampleReference{Slot: found.Slot, Digest: found.Digest}] = found.Data
}

// Put stores a sample and answers once it is durable.
func (s *Store) Put(put *wire.SamplePut, reply func(wire.Message)) {
	state := s.trainer(put.Trainer)
	if put.Token < state.token {
		reply(&wire.Failure{Code: uint16(wire.CodeStaleToken), Detail: fmt.Sprintf("token %d, newest seen %d", put.Token, state.token)})
		return
	}
	state.token = put.Token
	reference := wire.SampleReference{Slot: put.Slot, Digest: put.Digest}
	if _, stored := state.steps[put.Step][reference]; stored {
		reply(&wire.Done{})
		return
	}
	added := entry{Trainer: put.Trainer, Step: put.Step, Slot: put.Slot, Digest: put.Digest, Data: put.Data}
	record, err := json.Marshal(added)
	if err != nil {
		reply(&wire.Failure{Code: uint16(wire.CodeStorage), Detail: err.Error()})
		return
	}
	s.log.Append(segmentName(put.Trainer, put.Step), record, func(err error) {
		if err != nil {
			reply(&wire.Failure{Code: uint16(wire.CodeStorage), Detail: err.Error()})
			return
		}
		s.index(added)
		s.retire(put.Trainer)
		reply(&wire.Done{})
	})
}

// retire removes the steps that are too far behind the newest.
func (s *Store) retire(trainer string) {
	steps := s.trainer(trainer).steps
	if len(steps) <= KeptSteps {
		return
	}
	ordered := slices.Sorted(maps.Keys(steps))
	for _, step := range ordered[:len(ordered)-KeptSteps] {
		delete(steps, step)
		s.log.Remove(segmentName(trainer, step))
	}
}

// List names the samples held of a step, without their data.
func (s *Store) List(list *wire.SampleList) *wire.Samples {
	samples := &wire.Samples{}
	for _, reference := range slices.SortedFunc(maps.Keys(s.trainer(list.Trainer).steps[list.Step]), wire.SampleReference.Compare) {
		samples.Samples = append(samples.Samples, wire.Sample{Slot: reference.Slot, Digest: reference.Digest})
	}
	return samples
}

// Get returns the samples asked for that are held.
func (s *Store) Get(get *wire.SampleGet) *wire.Samples {
	samples := &wire.Samples{}
	held := s.trainer(get.Trainer).steps[get.Step]
	for _, reference := range get.References {
		if data, stored := held[reference]; stored {
			samples.Samples = append(samples.Samples, wire.Sample{Slot: reference.Slot, Digest: reference.Digest, Data: data})
		}
	}
	return samples
}

// Count is the number of samples held.
func (s *Store) Count() int {
	count := 0
	for _, state := range s.trainers {
		for _, step := range state.steps {
			count += len(step)
		}
	}
	return count
}
