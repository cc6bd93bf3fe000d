package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines bounds the lines that wait to be written; further ones are
	// dropped and counted.
	maxQueuedLines = 4096
	// batchBytes is up to how much is written at once.
	batchBytes = 32 << 10
)

// boundedWriter writes lines on a goroutine of its own and drops what its
// queue cannot hold.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	pending sync.WaitGroup
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	writer := &boundedWriter{lines: make(chan []byte, maxQueuedLines), out: out}
	go writer.run()
	return writer
}

// Write implements io.Writer; it never blocks.
func (w *boundedWriter) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Done()
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes lines, several at a time when they wait.
func (w *boundedWriter) run() {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		count := 1
		for more := true; more && len(batch) < batchBytes; {
			select {
			case next := <-w.lines:
				batch = append(batch, next...)
				count++
			default:
				more = false
			}
		}
		w.out.Write(batch)
		w.pending.Add(-count)
	}
}

// Flush waits until what was logged before has been written.
func (w *boundedWriter) Flush() { w.pending.Wait() }
