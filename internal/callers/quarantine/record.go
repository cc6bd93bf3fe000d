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

// maxRecorded is the maximum number of requests in the object; the newest are kept. It limits
// the object, which all nodes watch, to about 70 KB.
const maxRecorded = 1000

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

// errBadFingerprint means that a record entry or message has no valid fingerprint.
var errBadFingerprint = merry.Sentinel("not a fingerprint of 32 hexadecimal digits")

// RecordError reports a record that cannot be encoded, or that cannot be decoded in whole or
// in part.
type RecordError struct {
	// InvalidFingerprint is the first invalid fingerprint. It is set if the other entries were
	// decoded.
	InvalidFingerprint string
	Cause              error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record of quarantined requests, at %q: %v", e.InvalidFingerprint, e.Cause)
}

func (e *RecordError) Unwrap() error { return e.Cause }

// parseFingerprint parses a fingerprint in hexadecimal.
func parseFingerprint(text string) (Fingerprint, error) {
	digits, err := hex.DecodeString(text)
	if err != nil || len(digits) != fingerprintBytes {
		return Fingerprint{}, errBadFingerprint
	}
	return Fingerprint(digits), nil
}

// decodeRecord decodes a record and returns the start time of each quarantine. It skips
// entries with an invalid fingerprint and returns the others along with a *RecordError for
// the first invalid one.
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
				finding = &RecordError{InvalidFingerprint: entry.Fingerprint, Cause: err}
			}
			continue
		}
		began[request] = time.UnixMilli(entry.At)
	}
	return began, finding
}

// encodeRecord encodes a record of the maxRecorded newest quarantines, newest first.
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
