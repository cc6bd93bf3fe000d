package jobstore

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// maxPartBytes is the maximum size of the part of a payload in one object. The store accepts
// objects of about a megabyte, and parts are stored as JSON strings, whose escaping adds to
// the size.
const maxPartBytes = 600 << 10

// Accept stores a batch job: first the payload, then the record. It returns the record in the
// store, which belongs to another caller if the id was already in use, and whether this call
// created it. The error is a *NotAcceptedError or an *AcceptanceUnknownError.
func (s *Store) Accept(ctx context.Context, id string, record Record, payload []byte) (stored Record, created bool, err error) {
	record.Parts = (len(payload) + maxPartBytes - 1) / maxPartBytes
	if err := s.createPayload(ctx, id, record.Parts, payload); err != nil {
		// A payload without a record has no effect.
		return Record{}, false, &NotAcceptedError{Cause: err}
	}
	spec, err := json.Marshal(record)
	if err != nil {
		return Record{}, false, &NotAcceptedError{Cause: err}
	}
	object, outcome, err := objectstore.CreateWithRetry(ctx, s.store, KindJobs, id, spec)
	switch outcome {
	case objectstore.NotCreated:
		return Record{}, false, &NotAcceptedError{Cause: err}
	case objectstore.OutcomeUnknown:
		return Record{}, false, &AcceptanceUnknownError{Cause: err}
	}
	stored, _, err = readRecord(object)
	if err != nil {
		return Record{}, false, &AcceptanceUnknownError{Cause: err}
	}
	return stored, outcome == objectstore.Created, nil
}

// createPayload stores a payload in the given number of parts.
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

// Payload reads the payload of a job from its parts. It returns ErrTruncated if a part is
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
