package quarantine

import (
	"errors"
	"testing"
	"time"
)

func TestRecordRoundTrip(t *testing.T) {
	began := map[Fingerprint]time.Time{}
	for number := range maxRecorded + 5 {
		began[numbered(number)] = start.Add(time.Duration(number) * time.Second)
	}
	spec, err := encodeRecord(began)
	if err != nil {
		t.Fatal(err)
	}
	read, err := decodeRecord(spec)
	if err != nil || len(read) != maxRecorded {
		t.Fatalf("%d requests are read, error %v", len(read), err)
	}
	if _, oldest := read[numbered(0)]; oldest || !read[numbered(maxRecorded+4)].Equal(began[numbered(maxRecorded+4)]) {
		t.Error("not the newest requests are kept")
	}
}

// Guards against losing the valid entries of a record along with an invalid one.
func TestUnreadableEntriesOfTheRecordAreLeftOut(t *testing.T) {
	read, err := decodeRecord([]byte(`{"requests":[{"fingerprint":"xyz","at":1},{"fingerprint":"` + numbered(7).String() + `","at":5}]}`))
	var unreadable *RecordError
	if !errors.As(err, &unreadable) || unreadable.InvalidFingerprint != "xyz" || unreadable.Cause == nil {
		t.Errorf("error is %v", err)
	}
	if len(read) != 1 || !read[numbered(7)].Equal(time.UnixMilli(5)) {
		t.Errorf("read are %v", read)
	}
	if read, err := decodeRecord([]byte(`[1]`)); read != nil || !errors.As(err, &unreadable) {
		t.Errorf("read are %v, error %v", read, err)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"requests":[{"fingerprint":"07000000000000000000000000000000","at":5}]}`))
	f.Add([]byte(`{"requests":[{"fingerprint":7}]}`))
	f.Add([]byte(`{"requests":{}}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, spec []byte) {
		read, err := decodeRecord(spec)
		var unreadable *RecordError
		if err != nil && !errors.As(err, &unreadable) {
			t.Fatalf("error %v has no type", err)
		}
		if err == nil {
			if _, err := encodeRecord(read); err != nil {
				t.Fatal(err)
			}
		}
	})
}
