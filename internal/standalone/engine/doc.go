// Package engine is the adapter towards model engines: what a request and its
// stream of chunks are, how a stream can fail, and the orders and status of
// an engine. Another dialect of engine changes this package alone.
package engine
