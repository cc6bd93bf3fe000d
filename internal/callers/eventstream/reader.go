package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

const (
	// maxLineBytes limits the length of a line.
	maxLineBytes    = 1 << 20
	readBufferBytes = 4 << 10
	// maxQuotedBytes limits how much of an overlong line an error quotes.
	maxQuotedBytes = 64
)

// Reader reads the events of one stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	// versionField is the name of the field that gives a new weight version.
	versionField string
	// lastID is the id of the last returned event.
	lastID int
}

// NewReader returns a reader of a stream that resumes after the event with the id after; 0
// means that it starts from the beginning. versionField is the name of the field that gives
// the weight version.
func NewReader(source io.Reader, versionField string, after int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes), versionField: versionField, lastID: after}
}

// Next returns the next event. The error is io.EOF if the source ends after a complete event,
// ErrTruncated if it ends within one, a *MalformedError, or an error of the source.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	started, hasData := false, false
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && started {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		if line == "" {
			if !started {
				continue
			}
			event.Raw += "\n"
			return r.finish(event, hasData)
		}
		started = true
		isData, err := r.addLine(&event, line, hasData)
		if err != nil {
			return Event{}, err
		}
		hasData = hasData || isData
	}
}

// addLine adds a line to an event, and returns whether it is a data line.
func (r *Reader) addLine(event *Event, line string, hasData bool) (isData bool, err error) {
	event.Raw += line + "\n"
	name, text, isField := strings.Cut(line, ":")
	if !isField {
		return false, &MalformedError{Reason: "line is not a field", Line: line}
	}
	text = strings.TrimPrefix(text, " ")
	switch name {
	case "id":
		if event.ID, err = strconv.Atoi(text); err != nil {
			return false, &MalformedError{Reason: "event id is not a number", Line: line}
		}
	case "data":
		if hasData {
			event.Data += "\n"
		}
		event.Data += text
		return true, nil
	case r.versionField:
		if event.Version, err = strconv.ParseInt(strings.TrimSpace(text), 10, 64); err != nil {
			return false, &MalformedError{Reason: "weight version is not a number", Line: line}
		}
	}
	return false, nil
}

// finish returns a complete event, or an error if it has no data or does not follow the
// previous event.
func (r *Reader) finish(event Event, hasData bool) (Event, error) {
	if event.ID != r.lastID+1 || !hasData {
		return Event{}, &MalformedError{Reason: "event has no data or does not follow the previous one", Line: strconv.Itoa(event.ID)}
	}
	r.lastID = event.ID
	return event, nil
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() (string, error) {
	var partial []byte
	for {
		part, err := r.source.ReadSlice('\n')
		if err == nil {
			if partial != nil {
				part = append(partial, part...)
			}
			return strings.TrimRight(string(part), "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(partial)+len(part) > 0 {
				return "", ErrTruncated
			}
			return "", err
		}
		if partial = append(partial, part...); len(partial) > maxLineBytes {
			return "", &MalformedError{Reason: "line exceeds the maximum length", Line: string(partial[:maxQuotedBytes])}
		}
	}
}
