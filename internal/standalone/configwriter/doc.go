// Package configwriter changes the configuration: it reads the head object,
// computes and validates the next generation, and writes it on condition that
// the head is unchanged. Of two writers that race exactly one wins; the other
// gets a ConflictError that names what changed. A write whose answer is lost
// is settled by its write id.
package configwriter
