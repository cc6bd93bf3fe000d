// Package eventstream reads the events of a text/event-stream answer and
// refuses whatever would join a text wrongly: a gap, a repeat, an event that
// was cut short.
package eventstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrTorn means that the stream ended in the middle of an event.
var ErrTorn = merry.Sentinel("stream ended in the middle of an event")

// MalformedError is an event that cannot be read or does not follow the last.
type MalformedError struct {
	Reason string
	Line   string
}

// Error gives the reason and the line.
func (e *MalformedError) Error() string { return fmt.Sprintf("%s: %q", e.Reason, e.Line) }

// longestLine bounds one line of an event, in bytes.
const longestLine = 1 << 20

// bufferBytes is the size of the read buffer.
const bufferBytes = 4 << 10

// Event is one event.
type Event struct {
	ID   int
	Data string
	// Version is the weight version from this event on, 0 where it stays.
	Version int64
	// Raw is the event as it came, with the empty line that ends it.
	Raw string
}

// Reader reads the events of one stream.
type Reader struct {
	lines *bufio.Reader
	// versionField is the name of the line that tells a change of version.
	versionField string
	last         int
}

// NewReader returns a reader of a stream whose first event follows another.
func NewReader(source io.Reader, versionField string, after int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(source, bufferBytes), versionField: versionField, last: after}
}

// Next returns the next event, io.EOF at the end of a whole stream, or why
// there is none.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	begun, hasData := false, false
	for {
		line, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && begun {
				return Event{}, ErrTorn
			}
			return Event{}, err
		}
		if line == "" {
			if !begun {
				continue
			}
			event.Raw += "\n"
			return r.accept(event, hasData)
		}
		begun = true
		isData, err := r.add(&event, line, hasData)
		if err != nil {
			return Event{}, err
		}
		hasData = hasData || isData
	}
}

// add adds a line to an event, and tells whether it is one of data.
func (r *Reader) add(event *Event, line string, hasData bool) (isData bool, err error) {
	event.Raw += line + "\n"
	name, text, isField := strings.Cut(line, ":")
	if !isField {
		return false, &MalformedError{Reason: "line is no field", Line: line}
	}
	text = strings.TrimPrefix(text, " ")
	switch name {
	case "id":
		if event.ID, err = strconv.Atoi(text); err != nil {
			return false, &MalformedError{Reason: "event id is no number", Line: line}
		}
	case "data":
		if hasData {
			event.Data += "\n"
		}
		event.Data += text
		return true, nil
	case r.versionField:
		if event.Version, err = strconv.ParseInt(strings.TrimSpace(text), 10, 64); err != nil {
			return false, &MalformedError{Reason: "weight version is no number", Line: line}
		}
	}
	return false, nil
}

// accept checks that an event follows the last one.
func (r *Reader) accept(event Event, hasData bool) (Event, error) {
	if event.ID != r.last+1 || !hasData {
		return Event{}, &MalformedError{Reason: "event does not follow the last", Line: strconv.Itoa(event.ID)}
	}
	r.last = event.ID
	return event, nil
}

// line reads a line without its end.
func (r *Reader) line() (string, error) {
	var long []byte
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil {
			if long != nil {
				part = append(long, part...)
			}
			return strings.TrimRight(string(part), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(long)+len(part) > 0 {
				return "", ErrTorn
			}
			return "", err
		}
		if long = append(long, part...); len(long) > longestLine {
			return "", &MalformedError{Reason: "line is too long", Line: string(long[:64])}
		}
	}
}
