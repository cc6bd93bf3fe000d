// Package stream assembles the chunks of a response. It refuses a gap, a repeated
// chunk, a chunk without tokens or without a weight version, and an end whose
// token count or digest differs from the chunks. It does no I/O.
//
// Invariant: the accepted chunks are contiguous from the first token, and each
// token belongs to the Segment of the weight version that produced it.
package stream
