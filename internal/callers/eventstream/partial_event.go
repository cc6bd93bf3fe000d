package eventstream

import (
	"strconv"
	"strings"
)

// partialEvent is an event whose terminating empty line has not been read yet.
type partialEvent struct {
	id      int
	version int64
	// raw holds the lines, and data the text of the data lines, each with a line ending. An event
	// may consist of many short lines.
	raw, data strings.Builder
}

// started reports whether the event has a line.
func (e *partialEvent) started() bool { return e.raw.Len() > 0 }

// addLine adds a line, which is not empty.
func (e *partialEvent) addLine(line, versionField string) (err error) {
	e.raw.WriteString(line)
	e.raw.WriteByte('\n')
	name, text, isField := strings.Cut(line, ":")
	if !isField {
		return &MalformedError{Reason: "line is not a field", Line: line}
	}
	text = strings.TrimPrefix(text, " ")
	switch name {
	case "id":
		if e.id, err = strconv.Atoi(text); err != nil {
			return &MalformedError{Reason: "event id is not a number", Line: line}
		}
	case "data":
		e.data.WriteString(text)
		e.data.WriteByte('\n')
	case versionField:
		if e.version, err = strconv.ParseInt(strings.TrimSpace(text), 10, 64); err != nil {
			return &MalformedError{Reason: "weight version is not a number", Line: line}
		}
	}
	return nil
}

// event returns the event with its terminating empty line, and whether it has a data line.
func (e *partialEvent) event() (event Event, hasData bool) {
	data, hasData := strings.CutSuffix(e.data.String(), "\n")
	return Event{ID: e.id, Data: data, Version: e.version, Raw: e.raw.String() + "\n"}, hasData
}
