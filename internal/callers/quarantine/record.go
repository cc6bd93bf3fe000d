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

// Kind and ObjectName are the kind and name of the stored object that lists the requests in
// quarantine.
const (
	Kind       = "quarantines"
	ObjectName = "requests"
)

// maxRecordEntries is the maximum number of requests in the object; the newest are kept. It
// limits the object, which all nodes watch, to about 70 KB.
const maxRecordEntries = 1000

// record is the stored object.
type record struct {
	Requests []recordEntry `json:"requests"`
}

// recordEntry is one request in quarantine.
type recordEntry struct {
	Fingerprint string `json:"fingerprint"`
	// At is the start of the quarantine in Unix milliseconds, by the clock of the node
	// that wrote the entry.
	At int64 `json:"at"`
}

// errInvalidFingerprint means that a record entry or message has no valid fingerprint.
var errInvalidFingerprint = merry.Sentinel("fingerprint is not 32 hexadecimal digits")

// RecordError reports a record that cannot be encoded, or that cannot be decoded in whole or
// in part.
type RecordError struct {
	// InvalidFingerprint is the first invalid fingerprint. It is set if the other entries were
	// decoded.
	InvalidFingerprint string
	Cause              error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("quarantine record, fingerprint %q: %v", e.InvalidFingerprint, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// parseFingerprint parses a fingerprint in hexadecimal.
func parseFingerprint(text string) (Fingerprint, error) {
	digits, err := hex.DecodeString(text)
	if err != nil || len(digits) != fingerprintBytes {
		return Fingerprint{}, errInvalidFingerprint
	}
	return Fingerprint(digits), nil
}

// decodeRecord decodes a record and returns the start time of each quarantine. It skips
// entries with an invalid fingerprint and returns the others along with a *RecordError for
// the first invalid one.
func decodeRecord(spec []byte) (map[Fingerprint]time.Time, error) {
	var decoded record
	if err := json.Unmarshal(spec, &decoded); err != nil {
		return nil, &RecordError{Cause: err}
	}
	startTimes := make(map[Fingerprint]time.Time, len(decoded.Requests))
	var firstErr error
	for _, entry := range decoded.Requests {
		request, err := parseFingerprint(entry.Fingerprint)
		if err != nil {
			if firstErr == nil {
				firstErr = &RecordError{InvalidFingerprint: entry.Fingerprint, Cause: err}
			}
			continue
		}
		startTimes[request] = time.UnixMilli(entry.At)
	}
	return startTimes, firstErr
}

// encodeRecord encodes a record of the maxRecordEntries newest quarantines, newest first.
func encodeRecord(startTimes map[Fingerprint]time.Time) ([]byte, error) {
	encoded := record{Requests: make([]recordEntry, 0, len(startTimes))}
	for request, at := range startTimes {
		encoded.Requests = append(encoded.Requests, recordEntry{Fingerprint: request.String(), At: at.UnixMilli()})
	}
	slices.SortFunc(encoded.Requests, func(a, b recordEntry) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	encoded.Requests = encoded.Requests[:min(len(encoded.Requests), maxRecordEntries)]
	return json.Marshal(encoded)
}
