package logging

import (
	"context"
	"io"
	"log/slog"
	"time"

	"k8s.io/klog/v2"
)

// dropReportInterval is the time between two logged counts of dropped lines.
const dropReportInterval = time.Second

// Setup sends all log lines as JSON to a writer without ever blocking.
// The returned function waits for what was logged. Call it once.
func Setup(out io.Writer, level slog.Level) (flush func()) {
	writer := newBoundedWriter(out)
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level}))
	klog.SetSlogLogger(logger)
	go reportDropped(writer, logger)
	return writer.Flush
}

// reportDropped logs how many lines were dropped, for the life of the process.
func reportDropped(writer *boundedWriter, logger *slog.Logger) {
	for reported := int64(0); ; {
		time.Sleep(dropReportInterval)
		if dropped := writer.dropped.Load(); dropped != reported {
			logger.Warn("log lines dropped", "count", dropped-reported)
			reported = dropped
		}
	}
}

// NodeLogger returns the logger of a node, whose lines name the node and its zone.
func NodeLogger(node, zone string) klog.Logger {
	return klog.LoggerWithValues(klog.FromContext(context.Background()), "node", node, "zone", zone)
}
