// Package eventstream reads the events of a text/event-stream response. It rejects gaps,
// repeated events and truncated events, which would corrupt the text assembled from them.
//
// A Reader tracks its position in one stream. It requires event ids that count from 1, and
// guarantees that the events it returns have consecutive ids.
package eventstream
