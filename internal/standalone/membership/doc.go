// Package membership keeps each node's table of all nodes and lease holders.
// Inside a zone members probe one another (a direct ping, then two indirect
// ones, then suspicion, then death) and carry changed records on the probes.
// Between zones only two delegates of each zone talk. A hash over all records
// travels with each probe; a lasting difference starts an exchange of record
// versions, so that a lost message is always made good.
package membership
