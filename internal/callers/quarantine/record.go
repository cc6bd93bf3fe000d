package quarantine

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// Kind is the kind of the object that lists the requests in quarantine, and ObjectName its
// name.
const (
	Kind       = "quarantines"
	ObjectName = "requests"
)

// maxRecorded bounds the requests in the object, which all nodes watch, to about 70 KB. The
// newest stay.
const maxRecorded = 1000

// record is what the store holds.
type record struct {
	Requests []recordEntry `json:"requests"`
}

// recordEntry is one request in quarantine.
type recordEntry struct {
	Fingerprint string `json:"fingerprint"`
	// At is when the quarantine began, in milliseconds since the start of 1970 by the
	// writer's time of day.
	At int64 `json:"at"`
}

// errBadFingerprint means that a text or message has no valid fingerprint.
var errBadFingerprint = merry.Sentinel("not a fingerprint of 32 hexadecimal digits")

// RecordError is a record that cannot be read, or not in part, or not written.
type RecordError struct {
	// Found is the first fingerprint that cannot be read, if the rest can.
	Found string
	Cause error
}

// Error gives what was found and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("record of quarantined requests, at %q: %v", e.Found, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// parseFingerprint reads a fingerprint's digits.
func parseFingerprint(text string) (Fingerprint, error) {
	digits, err := hex.DecodeString(text)
	if err != nil || len(digits) != fingerprintBytes {
		return Fingerprint{}, errBadFingerprint
	}
	return Fingerprint(digits), nil
}

// decodeRecord reads a record: when each quarantine began. Entries that cannot be read
// are left out, and the first of them is the error; the others hold.
func decodeRecord(spec []byte) (map[Fingerprint]time.Time, error) {
	var read record
	if err := json.Unmarshal(spec, &read); err != nil {
		return nil, &RecordError{Cause: err}
	}
	began := make(map[Fingerprint]time.Time, len(read.Requests))
	var finding error
	for _, entry := range read.Requests {
		request, err := parseFingerprint(entry.Fingerprint)
		if err != nil {
			if finding == nil {
				finding = &RecordError{Found: entry.Fingerprint, Cause: err}
			}
			continue
		}
		began[request] = time.UnixMilli(entry.At)
	}
	return began, finding
}

// encodeRecord writes a record, the newest quarantines first and no more than fit.
func encodeRecord(began map[Fingerprint]time.Time) ([]byte, error) {
	written := record{Requests: make([]recordEntry, 0, len(began))}
	for request, at := range began {
		written.Requests = append(written.Requests, recordEntry{Fingerprint: request.String(), At: at.UnixMilli()})
	}
	slices.SortFunc(written.Requests, func(a, b recordEntry) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	written.Requests = written.Requests[:min(len(written.Requests), maxRecorded)]
	return json.Marshal(written)
}
