package samplestore

import (
	"testing"

	"github.com/pathtally/pathtally/internal/standalone/recordlog"
	"github.com/pathtally/pathtally/internal/wire"
)

// memoryLog is a log that is durable at once.
type memoryLog struct{ records []recordlog.Record }

func (l *memoryLog) Append(segment string, record []byte, done func(error)) {
	l.records = append(l.records, recordlog.Record{Segment: segment, Data: record})
	done(nil)
}

func (l *memoryLog) Remove(segment string) {
	kept := l.records[:0]
	for _, record := range l.records {
		if record.Segment != segment {
			kept = append(kept, record)
		}
	}
	l.records = kept
}

func (l *memoryLog) Recover() ([]recordlog.Record, error) { return l.records, nil }

func open(t *testing.T, log recordlog.Log) *Store {
	t.Helper()
	store, err := Open(log)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func put(store *Store, step uint64, slot uint32, token uint64, data string) wire.Message {
	var answer wire.Message
	store.Put(&wire.SamplePut{Trainer: "t", Step: step, Slot: slot, Digest: uint64(len(data)), Data: []byte(data), Token: token}, func(message wire.Message) { answer = message })
	return answer
}

// TestOlderTokenIsRefused is the old scheduler that wakes after its lease.
func TestOlderTokenIsRefused(t *testing.T) {
	store := open(t, &memoryLog{})
	put(store, 1, 0, 5, "new holder")
	failure, refused := put(store, 1, 1, 4, "old").(*wire.Failure)
	if !refused || wire.FailureCode(failure.Code) != wire.CodeStaleToken {
		t.Errorf("an older token got %+v", failure)
	}
	if count := store.Count(); count != 1 {
		t.Errorf("%d samples are stored", count)
	}
}

func TestSamplesOutliveARestartAndOldStepsGo(t *testing.T) {
	log := &memoryLog{}
	store := open(t, log)
	for step := range uint64(KeptSteps + 5) {
		put(store, step, 0, 1, "x")
		put(store, step, 0, 1, "x")
	}
	again := open(t, log)
	if store.Count() != KeptSteps || again.Count() != KeptSteps {
		t.Errorf("%d samples before, %d after the restart, expected %d", store.Count(), again.Count(), KeptSteps)
	}
	found := again.Get(&wire.SampleGet{Trainer: "t", Step: KeptSteps + 4, References: []wire.SampleReference{{Slot: 0, Digest: 1}, {Slot: 9, Digest: 9}}})
	if len(found.Samples) != 1 || string(found.Samples[0].Data) != "x" {
		t.Errorf("found %+v", found)
	}
}
