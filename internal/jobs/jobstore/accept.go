package jobstore

import (
	"context"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Accept stores a batch job: first the payload, then the record. It returns the record in the
// store, which belongs to another caller if the id was already in use, and whether this call
// created it. The error is a *NotAcceptedError or an *AcceptanceUnknownError.
func (s *Store) Accept(ctx context.Context, id string, record Record, payload []byte) (stored Record, created bool, err error) {
	if !utf8.Valid(payload) {
		return Record{}, false, &NotAcceptedError{Cause: ErrNotText}
	}
	parts := splitPayload(payload)
	record.Parts, record.Digest = len(parts), digestOf(payload)
	if err := s.createPayload(ctx, id, parts); errors.Is(err, ErrAltered) {
		return s.acceptedBefore(ctx, id)
	} else if err != nil {
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

// acceptedBefore returns the record of a job under whose id another payload, or one that an earlier
// version cut into other parts, has been stored. Without a record it is unknown whether that job
// will be accepted.
func (s *Store) acceptedBefore(ctx context.Context, id string) (stored Record, created bool, err error) {
	read, err := s.Read(ctx, id)
	if err != nil {
		return Record{}, false, &AcceptanceUnknownError{Cause: errors.Join(ErrAltered, err)}
	}
	return read.Record, false, nil
}
