package jobstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/pathtally/pathtally/standin/metastore"
)

// accept stores a payload under a new id and returns its record.
func accept(t *testing.T, jobs *Store, id string, payload []byte) Record {
	t.Helper()
	record, created, err := jobs.Accept(context.Background(), id, Record{Epoch: 1}, payload)
	if err != nil || !created {
		t.Fatalf("accept: created %v, error %v", created, err)
	}
	return record
}

// Guards against a character that is lost at the end of a stored part.
func TestStoredPayloadIsTheSubmittedOne(t *testing.T) {
	jobs := New(metastore.New())
	for offset := range 4 {
		for name, char := range map[string]string{"two": "á", "three": "€", "four": "🚲"} {
			payload := []byte(strings.Repeat("x", maxPartBytes-offset) + strings.Repeat(char, 10))
			id := name + string(rune('0'+offset))
			record := accept(t, jobs, id, payload)
			read, err := jobs.Payload(context.Background(), id, record)
			if err != nil || !bytes.Equal(read, payload) {
				t.Errorf("character of %s bytes, %d before the end of a part: altered, error %v", name, offset, err)
			}
		}
	}
}

// Guards against parts that the store refuses for their size.
func TestEncodedPartsFitIntoAnObject(t *testing.T) {
	for _, text := range []string{"x", `"`, "<", "\n", "\x01", "\x7f", "\u2028", "🚲", `\`, "a<\"é"} {
		payload := []byte(strings.Repeat(text, 2<<20/len(text)))
		var joined []byte
		for _, part := range splitPayload(payload) {
			encoded, err := json.Marshal(string(part))
			if err != nil || len(encoded) > maxEncodedPartBytes {
				t.Errorf("%q: part of %d bytes, error %v", text, len(encoded), err)
			}
			joined = append(joined, part...)
		}
		if !bytes.Equal(joined, payload) {
			t.Errorf("%q: the parts are not the payload", text)
		}
	}
}

// A payload that was altered in the store is an error, not a job.
func TestAlteredPayloadIsAnError(t *testing.T) {
	store := metastore.New()
	jobs := New(store)
	record := accept(t, jobs, "job", []byte(`{"model":"a"}`))
	store.WriteRaw(KindPayloads, partName("job", 0), []byte(`"{\"model\":\"b\"}"`))
	if payload, err := jobs.Payload(context.Background(), "job", record); !errors.Is(err, ErrAltered) {
		t.Errorf("payload %q, error %v, want ErrAltered", payload, err)
	}
	record.Digest = ""
	if _, err := jobs.Payload(context.Background(), "job", record); err != nil {
		t.Errorf("record of an earlier version: %v", err)
	}
}

// Guards against promising that a job does not run which has been accepted with other parts.
func TestAcceptWithOtherPartsIsNotRefused(t *testing.T) {
	store := metastore.New()
	jobs := New(store)
	first := accept(t, jobs, "job", []byte(`{"model":"a"}`))
	stored, created, err := jobs.Accept(context.Background(), "job", Record{Epoch: 7}, []byte(`{"model":"c"}`))
	if err != nil || created || stored.Digest != first.Digest {
		t.Errorf("record %+v, created %v, error %v, want that of the first payload", stored, created, err)
	}
	store.WriteRaw(KindPayloads, partName("other", 0), []byte(`"x"`))
	var unknown *AcceptanceUnknownError
	if _, _, err := jobs.Accept(context.Background(), "other", Record{Epoch: 1}, []byte(`{"model":"a"}`)); !errors.As(err, &unknown) {
		t.Errorf("other parts without a record: error %v, want an *AcceptanceUnknownError", err)
	}
}

// What is stored and loaded is equal to what was submitted, for any text.
func FuzzPayload(f *testing.F) {
	f.Add([]byte(`{"requests":[]}`), 0)
	f.Add([]byte("á€🚲<>&\u2028\x00\x7f"), maxPartBytes)
	f.Fuzz(func(t *testing.T, text []byte, before int) {
		payload := append(bytes.Repeat([]byte("x"), max(0, before%(2*maxPartBytes))), text...)
		jobs := New(metastore.New())
		record, _, err := jobs.Accept(context.Background(), "job", Record{Epoch: 1}, payload)
		if !utf8.Valid(payload) {
			if !errors.Is(err, ErrNotText) {
				t.Errorf("error %v, want ErrNotText", err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		if read, err := jobs.Payload(context.Background(), "job", record); err != nil || !bytes.Equal(read, payload) {
			t.Errorf("%d bytes loaded, %d submitted, error %v", len(read), len(payload), err)
		}
	})
}
