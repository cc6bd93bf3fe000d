// Package gateway is a node's HTTP server: the completion API for callers, the
// step API for trainers, and the health, metrics and status endpoints for
// operators. The worker that serves a connection owns the request's state
// machine. It reads the configuration from an immutable snapshot and receives
// results of other goroutines over channels.
package gateway
