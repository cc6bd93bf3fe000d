package logging

import (
	"context"
	"io"
	"log/slog"
	"time"

	"k8s.io/klog/v2"
)

// dropReportInterval is the interval at which the number of dropped lines is logged.
const dropReportInterval = time.Second

// Setup makes klog write JSON lines to out without blocking. The returned function waits until
// all queued lines are written. Setup must be called only once.
func Setup(out io.Writer, level slog.Level) (flush func()) {
	writer := newBoundedWriter(out)
	logger := slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level}))
	klog.SetSlogLogger(logger)
	go reportDropped(writer, logger)
	return writer.Flush
}

// reportDropped periodically logs how many lines were dropped. It never returns.
func reportDropped(writer *boundedWriter, logger *slog.Logger) {
	for reported := int64(0); ; {
		time.Sleep(dropReportInterval)
		if dropped := writer.dropped.Load(); dropped != reported {
			logger.Warn("log lines dropped", "count", dropped-reported)
			reported = dropped
		}
	}
}

// NodeLogger returns a logger that adds the node and its zone to each line.
func NodeLogger(node, zone string) klog.Logger {
	return klog.LoggerWithValues(klog.FromContext(context.Background()), "node", node, "zone", zone)
}
