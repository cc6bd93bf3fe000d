package jobstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// maxPartBytes bounds the part of a payload in one object. The store takes objects of
// about a megabyte, and a part is escaped as a JSON string.
const maxPartBytes = 600 << 10

// Accept stores a batch job: its payload first, its record last. The record that the
// store then has is returned: it is another caller's if the id was taken before. made
// tells whether this call created it. The error is a *NotTakenError or an
// *UncertainError.
func (s *Store) Accept(ctx context.Context, id string, record Record, payload []byte) (stored Record, made bool, err error) {
	record.Parts = (len(payload) + maxPartBytes - 1) / maxPartBytes
	if err := s.createPayload(ctx, id, record.Parts, payload); err != nil {
		// Without its record the payload is no batch job.
		return Record{}, false, &NotTakenError{Cause: err}
	}
	spec, err := json.Marshal(record)
	if err != nil {
		return Record{}, false, &NotTakenError{Cause: err}
	}
	object, outcome, err := objectstore.CreateWithRetry(ctx, s.store, KindJobs, id, spec)
	switch outcome {
	case objectstore.NotCreated:
		return Record{}, false, &NotTakenError{Cause: err}
	case objectstore.OutcomeUnknown:
		return Record{}, false, &UncertainError{Cause: err}
	}
	stored, _, err = readRecord(object)
	if err != nil {
		return Record{}, false, &UncertainError{Cause: err}
	}
	return stored, outcome == objectstore.Created, nil
}

// createPayload stores a payload in parts.
func (s *Store) createPayload(ctx context.Context, id string, parts int, payload []byte) error {
	for part := range parts {
		first := part * maxPartBytes
		encoded, err := json.Marshal(string(payload[first:min(len(payload), first+maxPartBytes)]))
		if err != nil {
			return err
		}
		_, outcome, err := objectstore.CreateWithRetry(ctx, s.store, KindPayloads, partName(id, part), encoded)
		if outcome != objectstore.Created && outcome != objectstore.AlreadyExists {
			return err
		}
	}
	return nil
}

// Payload reads a submission back from its parts. ErrTruncated means that one is
// missing.
func (s *Store) Payload(ctx context.Context, id string, parts int) ([]byte, error) {
	var payload []byte
	for part := range parts {
		object, err := s.store.Get(ctx, KindPayloads, partName(id, part), objectstore.Linearizable)
		if errors.Is(err, objectstore.ErrNotFound) {
			return nil, ErrTruncated
		}
		if err != nil {
			return nil, err
		}
		var text string
		if err := json.Unmarshal(object.Spec, &text); err != nil {
			return nil, err
		}
		payload = append(payload, text...)
	}
	return payload, nil
}
