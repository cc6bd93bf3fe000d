package eventstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
)

const (
	// maxEventBytes limits the length of an event and of the empty lines before it. A line may be
	// as long.
	maxEventBytes   = 1 << 20
	readBufferBytes = 4 << 10
	// Up to maxUnreservedBytes an event needs no budget; beyond that, eventMemory times its
	// length is reserved, since its lines, data and raw form are kept.
	maxUnreservedBytes = 16 << 10
	eventMemory        = 4
	// maxQuotedBytes limits how much of an overlong event's last line an error quotes.
	maxQuotedBytes = 64
)

// Reader reads the events of one stream. It is not safe for concurrent use.
type Reader struct {
	source *bufio.Reader
	// versionField is the name of the field that gives a new weight version.
	versionField string
	// lastID is the id of the last returned event.
	lastID int
	// eventBytes is the number of bytes read since the last event.
	eventBytes int
	// Budget limits the memory of the long events of all streams; nil for no limit. It must not be
	// changed after the first Next.
	Budget *bytebudget.Budget
	// reserved is what the event in progress has reserved from it.
	reserved int64
}

// NewReader returns a reader of a stream that resumes after the event with the id after; 0
// means that it starts from the beginning. versionField is the name of the field that gives
// the weight version.
func NewReader(source io.Reader, versionField string, after int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, readBufferBytes), versionField: versionField, lastID: after}
}

// Close releases what the last event has reserved. It does not close the source.
func (r *Reader) Close() {
	r.Budget.Release(r.reserved)
	r.reserved = 0
}

// reserve reserves memory for the event in progress, and returns false if the budget is exhausted.
func (r *Reader) reserve() bool {
	needed := int64(r.eventBytes) * eventMemory
	if r.eventBytes <= maxUnreservedBytes || needed <= r.reserved {
		return true
	}
	// Reserving twice what is needed keeps the number of reservations small.
	if !r.Budget.Reserve(2*needed - r.reserved) {
		return false
	}
	r.reserved = 2 * needed
	return true
}

// Next returns the next event. The error is io.EOF if the source ends after a complete event,
// ErrTruncated if it ends within one, a *MalformedError, or an error of the source.
func (r *Reader) Next() (Event, error) {
	partial := partialEvent{}
	r.eventBytes = 0
	r.Close()
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && partial.started() {
				return Event{}, ErrTruncated
			}
			return Event{}, err
		}
		if line == "" {
			if !partial.started() {
				continue
			}
			return r.finish(&partial)
		}
		if err := partial.addLine(line, r.versionField); err != nil {
			return Event{}, err
		}
	}
}

// finish returns a complete event, or an error if it has no data or does not follow the
// previous event.
func (r *Reader) finish(partial *partialEvent) (Event, error) {
	event, hasData := partial.event()
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
		if r.eventBytes += len(part); r.eventBytes > maxEventBytes {
			return "", &MalformedError{Reason: "event exceeds the maximum length", Line: quoted(partial, part)}
		}
		if !r.reserve() {
			return "", ErrBudgetExhausted
		}
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
		partial = append(partial, part...)
	}
}

// quoted returns the beginning of a line that was read in two parts.
func quoted(partial, part []byte) string {
	line := append(partial[:len(partial):len(partial)], part...)
	return string(line[:min(len(line), maxQuotedBytes)])
}
