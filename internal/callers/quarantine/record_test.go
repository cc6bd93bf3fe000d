package quarantine

import (
	"errors"
	"testing"
	"time"
)

func TestRecordRoundTrip(t *testing.T) {
	startTimes := map[Fingerprint]time.Time{}
	for number := range maxRecordEntries + 5 {
		startTimes[testFingerprint(number)] = testStart.Add(time.Duration(number) * time.Second)
	}
	spec, err := encodeRecord(startTimes)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := decodeRecord(spec)
	if err != nil || len(decoded) != maxRecordEntries {
		t.Fatalf("decoded %d requests, error %v", len(decoded), err)
	}
	if _, oldest := decoded[testFingerprint(0)]; oldest || !decoded[testFingerprint(maxRecordEntries+4)].Equal(startTimes[testFingerprint(maxRecordEntries+4)]) {
		t.Error("the newest requests are not the ones kept")
	}
}

// Guards against losing the valid entries of a record along with an invalid one.
func TestDecodeRecordSkipsInvalidEntries(t *testing.T) {
	decoded, err := decodeRecord([]byte(`{"requests":[{"fingerprint":"xyz","at":1},{"fingerprint":"` + testFingerprint(7).String() + `","at":5}]}`))
	var recordErr *RecordError
	if !errors.As(err, &recordErr) || recordErr.InvalidFingerprint != "xyz" || recordErr.Cause == nil {
		t.Errorf("error %v, want RecordError with the invalid fingerprint", err)
	}
	if len(decoded) != 1 || !decoded[testFingerprint(7)].Equal(time.UnixMilli(5)) {
		t.Errorf("decoded %v, want only the valid entry", decoded)
	}
	if decoded, err := decodeRecord([]byte(`[1]`)); decoded != nil || !errors.As(err, &recordErr) {
		t.Errorf("decoded %v, error %v, want only a RecordError", decoded, err)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"requests":[{"fingerprint":"07000000000000000000000000000000","at":5}]}`))
	f.Add([]byte(`{"requests":[{"fingerprint":7}]}`))
	f.Add([]byte(`{"requests":{}}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, spec []byte) {
		decoded, err := decodeRecord(spec)
		var recordErr *RecordError
		if err != nil && !errors.As(err, &recordErr) {
			t.Fatalf("error %v is not a RecordError", err)
		}
		if err == nil {
			if _, err := encodeRecord(decoded); err != nil {
				t.Fatal(err)
			}
		}
	})
}
