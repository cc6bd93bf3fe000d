package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file. It is safe for concurrent use.
type Record struct {
	mutex  sync.Mutex
	file   *os.File
	writer *bufio.Writer
	begun  time.Time
}

// NewRecord creates the file, or empties it.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, writer: bufio.NewWriter(file), begun: time.Now()}, nil
}

// Add adds a line with the time since the start of the run.
func (r *Record) Add(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.writer, "%9.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

// Close writes the lines to the file.
func (r *Record) Close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.writer.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
