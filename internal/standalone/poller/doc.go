// Package poller measures engines. Each engine that a zone follows is polled
// by two nodes of the zone, which send the loads in batches to the rest of
// the zone, so that the cost to a node does not grow with the fleet.
//
// A Poller owns its list of targets and the loads that it last sent. It relies on
// the adapter of package engine, on the members of the zone as package membership
// knows them, and on the goroutine of its node's loop.
package poller
