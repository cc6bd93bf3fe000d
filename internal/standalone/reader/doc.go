// Package reader watches the object API and the machine list on behalf of all
// nodes. Only the holders of a region's reader leases run it; all others get the
// documents through package relay. A watch that is too old, or an answer that is
// lost, starts again from a read; waits between failures grow and jitter, so
// that the end of an outage brings no herd.
//
// A Reader owns nothing that lasts: it publishes what it reads, and reads again
// after a restart.
package reader
