// Package process is the node program of the standalone stack: it runs a
// node.Core over real sockets. It owns the loop that the Core's duties run on,
// the peer transport, the HTTP server, the adapters towards engines, scorers and
// the object API, and the log in the data folder. It relies on checked settings.
//
// A planned stop (Stop) refuses new work, hands duties over and waits for the
// requests in progress, up to the grace of the settings. Kill ends the node as a
// crash does.
package process
