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

// endless repeats a text, until limit bytes were read.
type endless struct {
	text        string
	read, limit int
}

func (e *endless) Read(buffer []byte) (int, error) {
	if e.read >= e.limit {
		return 0, io.ErrUnexpectedEOF
	}
	n := 0
	for n < len(buffer) {
		n += copy(buffer[n:], e.text[(e.read+n)%len(e.text):])
	}
	e.read += n
	return n, nil
}

// Guards against events without end, which were read into memory until the run's deadline.
func TestEndlessEventIsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"line": "x", "id lines": "id: 1\n", "data lines": "data: text\n", "fields": "a:\n", "comments": ":\n", "empty lines": "\n",
	} {
		source := &endless{text: text, limit: 8 * maxEventBytes}
		_, err := NewReader(source, testVersionField, 0).Next()
		var malformed *MalformedError
		if !errors.As(err, &malformed) || source.read > maxEventBytes+2*readBufferBytes || len(err.Error()) > 4*maxQuotedBytes {
			t.Errorf("%s: error of type %T after %d bytes, want a *MalformedError after %d", name, err, source.read, maxEventBytes)
		}
	}
}

// The limit applies to each event, not to the stream.
func TestManyLargeEventsAreRead(t *testing.T) {
	data := strings.Repeat("x", maxEventBytes/2)
	var text strings.Builder
	for _, id := range []string{"1", "2", "3", "4"} {
		text.WriteString("id: " + id + "\ndata: " + data + "\n\n")
	}
	reader := NewReader(strings.NewReader(text.String()), testVersionField, 0)
	for id := 1; id <= 4; id++ {
		if event, err := reader.Next(); err != nil || event.ID != id || event.Data != data {
			t.Fatalf("event %d: id %d, %d bytes, error %v", id, event.ID, len(event.Data), err)
		}
	}
}
