// Package objects is the versioned store under the platform stand-in, and
// under the simulator's object API: conditional writes and a bounded history
// of changes for watches.
package objects
