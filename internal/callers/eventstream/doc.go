// Package eventstream reads the events of a text/event-stream answer. It refuses whatever
// would join a text wrongly: a gap, a repeat, or an event that was cut off.
//
// A Reader owns its place in one stream, and relies on ids that count events from 1. It
// guarantees that the events it returns follow each other without a gap.
package eventstream
