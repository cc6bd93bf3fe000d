package instance

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// logQueueLines bounds the lines that wait to be written; further ones are
	// dropped and counted, so that logging never holds anything up.
	logQueueLines = 4096
	// dropReport is how often a number of dropped lines is told.
	dropReport = time.Second
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
	writer := &boundedWriter{lines: make(chan []byte, logQueueLines), out: out}
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

// batchBytes is up to how much is written at once.
const batchBytes = 32 << 10

// Flush waits until what was logged before has been written.
func (w *boundedWriter) Flush() { w.pending.Wait() }

// SetupLogging sends all log lines as JSON to a writer without ever blocking.
// The returned function waits for what was logged. Call it once.
func SetupLogging(out io.Writer, level slog.Level) func() {
	writer := newBoundedWriter(out)
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level}))
	klog.SetSlogLogger(logger)
	go func() {
		for told := int64(0); ; {
			time.Sleep(dropReport)
			if dropped := writer.dropped.Load(); dropped != told {
				logger.Warn("log lines dropped", "count", dropped-told)
				told = dropped
			}
		}
	}()
	return writer.Flush
}

func nodeLogger(node, zone string) klog.Logger {
	return klog.LoggerWithValues(klog.FromContext(context.Background()), "node", node, "zone", zone)
}
