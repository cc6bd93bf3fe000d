package recordlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/workqueue"
)

const (
	segmentSuffix = ".log"
	// headerBytes is the record's length and the hash of its data.
	headerBytes = 12
	// maxRecordBytes bounds a record; a longer length is damage.
	maxRecordBytes = 64 << 20
)

// LogError is a failure of the data folder.
type LogError struct {
	Path  string
	Cause error
}

// Error names the file and the cause.
func (e *LogError) Error() string { return fmt.Sprintf("record log %s: %v", e.Path, e.Cause) }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// FileLog keeps segments as files of a folder. Appends run on one goroutine
// of its own, which joins those that wait into one sync.
type FileLog struct {
	folder   string
	post     func(func())
	requests *workqueue.Queue[appendRequest]
	closed   chan struct{}
	// files belong to the goroutine that writes.
	files map[string]*os.File
}

type appendRequest struct {
	segment string
	data    []byte
	remove  bool
	done    func(error)
}

// OpenFileLog opens a folder, making it if need be. The function post runs a
// call on the goroutine of the duty.
func OpenFileLog(folder string, post func(func())) (*FileLog, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, &LogError{Path: folder, Cause: err}
	}
	log := &FileLog{
		folder: folder, post: post, requests: workqueue.New[appendRequest](), closed: make(chan struct{}), files: map[string]*os.File{},
	}
	go log.run()
	return log, nil
}

// Append implements Log.
func (l *FileLog) Append(segment string, record []byte, done func(error)) {
	l.requests.Add(appendRequest{segment: segment, data: record, done: done})
}

// Remove implements Log.
func (l *FileLog) Remove(segment string) {
	l.requests.Add(appendRequest{segment: segment, remove: true})
}

// Close ends the writing goroutine after what was appended before. Later
// appends are dropped without an answer.
func (l *FileLog) Close() {
	l.requests.Close()
	<-l.closed
}

func (l *FileLog) run() {
	defer close(l.closed)
	for open := true; open; {
		var batch []appendRequest
		batch, open = l.requests.Take()
		l.flush(batch)
	}
	for _, file := range l.files {
		file.Close()
	}
}

// flush carries out a batch, syncs each segment that it wrote to once, and
// answers.
func (l *FileLog) flush(batch []appendRequest) {
	touched := map[string]error{}
	for _, request := range batch {
		if request.remove {
			l.remove(request.segment)
			continue
		}
		if err := l.write(request); err != nil || touched[request.segment] == nil {
			touched[request.segment] = err
		}
	}
	for segment, err := range touched {
		if err == nil {
			touched[segment] = l.sync(segment)
		}
	}
	for _, request := range batch {
		if request.done != nil {
			err := touched[request.segment]
			l.post(func() { request.done(err) })
		}
	}
}

func (l *FileLog) path(segment string) string { return filepath.Join(l.folder, segment+segmentSuffix) }

func (l *FileLog) write(request appendRequest) error {
	file := l.files[request.segment]
	if file == nil {
		opened, err := os.OpenFile(l.path(request.segment), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return &LogError{Path: l.path(request.segment), Cause: err}
		}
		file = opened
		l.files[request.segment] = file
	}
	framed := make([]byte, headerBytes, headerBytes+len(request.data))
	binary.BigEndian.PutUint32(framed, uint32(len(request.data)))
	binary.BigEndian.PutUint64(framed[4:], xxhash.Sum64(request.data))
	if _, err := file.Write(append(framed, request.data...)); err != nil {
		return &LogError{Path: file.Name(), Cause: err}
	}
	return nil
}

func (l *FileLog) sync(segment string) error {
	file := l.files[segment]
	if file == nil {
		return nil
	}
	if err := file.Sync(); err != nil {
		return &LogError{Path: file.Name(), Cause: err}
	}
	return nil
}

func (l *FileLog) remove(segment string) {
	if file := l.files[segment]; file != nil {
		file.Close()
		delete(l.files, segment)
	}
	os.Remove(l.path(segment))
}

// Recover implements Log. A segment whose end is damaged, as after a crash in
// the middle of an append, is cut back to its last whole record.
func (l *FileLog) Recover() ([]Record, error) {
	entries, err := os.ReadDir(l.folder)
	if err != nil {
		return nil, &LogError{Path: l.folder, Cause: err}
	}
	var records []Record
	for _, found := range entries {
		segment, isSegment := strings.CutSuffix(found.Name(), segmentSuffix)
		if !isSegment {
			continue
		}
		data, err := recoverSegment(filepath.Join(l.folder, found.Name()))
		if err != nil {
			return nil, err
		}
		for _, record := range data {
			records = append(records, Record{Segment: segment, Data: record})
		}
	}
	return records, nil
}

func recoverSegment(path string) ([][]byte, error) {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return nil, &LogError{Path: path, Cause: err}
	}
	defer file.Close()
	var records [][]byte
	whole := int64(0)
	for {
		record, err := readRecord(file)
		if errors.Is(err, io.EOF) {
			return records, nil
		}
		if err != nil {
			break
		}
		records = append(records, record)
		whole += int64(headerBytes + len(record))
	}
	if err := file.Truncate(whole); err != nil {
		return nil, &LogError{Path: path, Cause: err}
	}
	return slices.Clip(records), nil
}

// damage is why a record cannot be read.
type damage struct{ reason string }

// Error gives the reason.
func (d *damage) Error() string { return d.reason }

func readRecord(reader io.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxRecordBytes {
		return nil, &damage{reason: "length over the bound"}
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(reader, data); err != nil {
		return nil, &damage{reason: "cut short"}
	}
	if xxhash.Sum64(data) != binary.BigEndian.Uint64(header[4:]) {
		return nil, &damage{reason: "checksum"}
	}
	return data, nil
}
