// Package fleet determines which engines may get new work, from their load
// reports, the machine list and missed reports. Once a machine is leaving, a
// later list does not undo it: only a live machine with another id at the same
// address does.
package fleet
