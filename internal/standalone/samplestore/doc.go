// Package samplestore keeps finished samples on the nodes that have a data
// folder: an append-only log for each step of a trainer, every record with
// its length and checksum. A put with a fencing token older than the newest
// one seen for the trainer is refused.
package samplestore
