package logging

import (
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxQueuedLines limits the queue; lines beyond it are dropped and counted.
	maxQueuedLines = 4096
	// batchBytes is the size at which a batch is written without adding further lines.
	batchBytes = 32 << 10
)

// boundedWriter queues lines and writes them on a separate goroutine. It drops lines while the
// queue is full.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	out     io.Writer
	// pending counts the lines that are queued or being written.
	pending sync.WaitGroup
}

func newBoundedWriter(out io.Writer) *boundedWriter {
	writer := &boundedWriter{lines: make(chan []byte, maxQueuedLines), out: out}
	go writer.run()
	return writer
}

// Write implements io.Writer. It never blocks and copies the line.
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

// run writes the queued lines in batches.
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

// Flush waits until all queued lines have been written.
func (w *boundedWriter) Flush() { w.pending.Wait() }
