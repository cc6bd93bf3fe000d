// Package replica stands in for the replicas of the users' platform in tests:
// model engines that stream events under weight versions and take orders, and
// services that answer plain requests.
//
// A Server owns what it ran and the orders that arrived, so that tests can judge
// the nodes by what replicas saw. The text of a stream is a function of the
// request's id (Events, Data, Text). Faults are set by the test; a Network gives
// replicas connections in memory for tests on a virtual clock.
package replica
