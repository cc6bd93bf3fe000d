// Package membership keeps each node's table of all nodes and lease holders.
// Inside a zone, members probe each other: a member that replies neither to a
// direct probe nor to two indirect ones is suspected and later declared dead.
// Changed records are sent along with the probes. Between zones only two
// delegates of each zone send probes. Each probe carries a hash over all records
// of the sender; a difference that lasts starts an exchange of record versions,
// which repairs the loss of messages.
package membership
