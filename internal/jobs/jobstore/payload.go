package jobstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"unicode/utf8"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// maxPartBytes is the maximum size of the part of a payload in one object, and
	// maxEncodedPartBytes that of the JSON string that it is stored as. The store accepts objects of
	// about a megabyte.
	maxPartBytes        = 600 << 10
	maxEncodedPartBytes = 900 << 10
)

// splitPayload cuts a payload, which must be valid UTF-8, into the parts that are stored. It cuts
// between characters: as a JSON string, a part of a character would be replaced.
func splitPayload(payload []byte) [][]byte {
	var parts [][]byte
	first, encoded := 0, len(`""`)
	for next := 0; next < len(payload); {
		char, size := utf8.DecodeRune(payload[next:])
		length := encodedLength(char, size)
		if next+size-first > maxPartBytes || encoded+length > maxEncodedPartBytes {
			parts = append(parts, payload[first:next])
			first, encoded = next, len(`""`)
		}
		next, encoded = next+size, encoded+length
	}
	if first < len(payload) {
		parts = append(parts, payload[first:])
	}
	return parts
}

// encodedLength returns the size of a character of the given size in a string that encoding/json has
// encoded.
func encodedLength(char rune, size int) int {
	const (
		shortEscape = len(`\n`)
		longEscape  = len(`\u0000`)
	)
	switch char {
	case '"', '\\', '\n', '\r', '\t', '\b', '\f':
		return shortEscape
	case '<', '>', '&', '\u2028', '\u2029', '\u007f':
		return longEscape
	}
	if char < ' ' {
		return longEscape
	}
	return size
}

// digestOf returns the digest of a payload that its record holds.
func digestOf(payload []byte) string {
	sum := sha256.Sum256(payload)
	return hex.EncodeToString(sum[:])
}

// createPayload stores the parts of a payload. It returns ErrAltered if another payload has been
// stored for the job.
func (s *Store) createPayload(ctx context.Context, id string, parts [][]byte) error {
	for number, part := range parts {
		encoded, err := json.Marshal(string(part))
		if err != nil {
			return err
		}
		object, outcome, err := objectstore.CreateWithRetry(ctx, s.store, KindPayloads, partName(id, number), encoded)
		if outcome != objectstore.Created && outcome != objectstore.AlreadyExists {
			return err
		}
		if outcome == objectstore.AlreadyExists {
			var stored string
			if err := json.Unmarshal(object.Spec, &stored); err != nil || !bytes.Equal([]byte(stored), part) {
				return ErrAltered
			}
		}
	}
	return nil
}

// Payload reads the payload of a job from its parts. It returns ErrTruncated if a part is missing, and
// ErrAltered if the payload is not the one that was accepted.
func (s *Store) Payload(ctx context.Context, id string, record Record) ([]byte, error) {
	var payload []byte
	for part := range record.Parts {
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
	if record.Digest != "" && record.Digest != digestOf(payload) {
		return nil, ErrAltered
	}
	return payload, nil
}
