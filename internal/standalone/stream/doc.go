// Package stream puts the chunks of an answer together and refuses whatever
// would make it wrong: a gap, a repeat that differs, a chunk that names no
// weight version, an end whose count or digest does not fit. It does no I/O; an
// Assembler belongs to the goroutine of its request.
//
// Guarantee: what an Assembler has accepted is a prefix of the one right answer,
// with the weight version of each run of tokens as a Segment.
package stream
