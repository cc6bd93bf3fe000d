// Package recordlog is an append-only log in segments, every record with its
// length and checksum. A segment cut short by a crash loses only the record
// that was being written, which nobody has been told is durable.
package recordlog
