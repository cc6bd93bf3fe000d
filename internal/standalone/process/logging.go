package process

import (
	"context"
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// SetupLogging sends all log lines as JSON to a writer. Call it once, before
// any node starts.
func SetupLogging(writer io.Writer, level slog.Level) {
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})))
}

// nodeLogger returns the logger of one node.
func nodeLogger(node, zone string) klog.Logger {
	return klog.LoggerWithValues(klog.FromContext(context.Background()), "node", node, "zone", zone)
}
