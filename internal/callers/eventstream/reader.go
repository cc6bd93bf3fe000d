package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	// maxLineBytes bounds one line of an event.
	maxLineBytes = 1 << 20
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 4 << 10
	// quotedLineBytes is how much of a line that is too long the error quotes.
	quotedLineBytes = 64
)

// Reader reads the events of one stream. It is not safe for use by many goroutines.
type Reader struct {
	lines *bufio.Reader
	// versionField is the name of the line that gives a new weight version.
	versionField string
	// last is the id of the event returned last.
	last int
}

// NewReader returns a reader of a stream whose first event follows the one with the id
// after, 0 for the beginning. VersionField names the line that gives a weight version.
func NewReader(source io.Reader, versionField string, after int) *Reader {
	return &Reader{lines: bufio.NewReaderSize(source, readBufferBytes), versionField: versionField, last: after}
}

// Next returns the next event. The error is io.EOF after a whole event, ErrTorn within one,
// a *MalformedError, or that of the source.
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

// add adds a line to an event, and returns whether it is a line of data.
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

// accept returns an event that has data and follows the last one.
func (r *Reader) accept(event Event, hasData bool) (Event, error) {
	if event.ID != r.last+1 || !hasData {
		return Event{}, &MalformedError{Reason: "event does not follow the last", Line: strconv.Itoa(event.ID)}
	}
	r.last = event.ID
	return event, nil
}

// line returns the next line without its end.
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
		if long = append(long, part...); len(long) > maxLineBytes {
			return "", &MalformedError{Reason: "line is too long", Line: string(long[:quotedLineBytes])}
		}
	}
}
