package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

const testVersionField = "x-version"

// readAll reads a stream to its end, one byte per read of the source.
func readAll(text string, after int) ([]Event, error) {
	reader := NewReader(iotest.OneByteReader(strings.NewReader(text)), testVersionField, after)
	var events []Event
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event)
	}
}

func TestReader(t *testing.T) {
	malformed := &MalformedError{}
	for _, test := range []struct {
		name, text string
		after      int
		wantEvents int
		wantErr    error
	}{
		{"complete", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, 2, io.EOF},
		{"resumed", "id: 8\ndata: a\n\n", 7, 1, io.EOF},
		{"empty", "", 3, 0, io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", 0, 1, io.EOF},
		{"gap", "id: 1\ndata: a\n\nid: 3\ndata: b\n\n", 0, 1, malformed},
		{"repeat", "id: 1\ndata: a\n\nid: 1\ndata: a\n\n", 0, 1, malformed},
		{"restarted instead of resumed", "id: 1\ndata: a\n\n", 4, 0, malformed},
		{"truncated within a line", "id: 1\ndata: a\n\nid: 2\nda", 0, 1, ErrTruncated},
		{"truncated between lines", "id: 1\ndata: a\n\nid: 2\n", 0, 1, ErrTruncated},
		{"truncated before the empty line", "id: 1\ndata: a\n", 0, 0, ErrTruncated},
		{"no data", "id: 1\n\n", 0, 0, malformed},
		{"line is not a field", "id: 1\nnonsense\n\n", 0, 0, malformed},
		{"id is not a number", "id: x\ndata: a\n\n", 0, 0, malformed},
		{"version is not a number", "x-version: y\nid: 1\ndata: a\n\n", 0, 0, malformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, err := readAll(test.text, test.after)
			if len(events) != test.wantEvents {
				t.Errorf("read %d events, want %d", len(events), test.wantEvents)
			}
			var found *MalformedError
			if test.wantErr == malformed {
				if !errors.As(err, &found) {
					t.Errorf("stream ended with %v, want a MalformedError", err)
				}
			} else if !errors.Is(err, test.wantErr) {
				t.Errorf("stream ended with %v, want %v", err, test.wantErr)
			}
		})
	}
}

func TestReaderEventFields(t *testing.T) {
	text := "x-version: 7\nid: 1\ndata: a b\ndata: c\n\n"
	events, err := readAll(text, 0)
	if !errors.Is(err, io.EOF) || len(events) != 1 {
		t.Fatalf("read %v, error %v", events, err)
	}
	want := Event{ID: 1, Data: "a b\nc", Version: 7, Raw: text}
	if events[0] != want {
		t.Errorf("event %+v, want %+v", events[0], want)
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	f.Add("x-version: 3\nid: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := readAll(text, 0)
		for number, event := range events {
			if event.ID != number+1 {
				t.Errorf("event %d is at position %d", event.ID, number+1)
			}
		}
		if err == nil {
			t.Error("reading ended without an error")
		}
	})
}
