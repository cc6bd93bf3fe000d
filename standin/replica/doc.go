// Package replica is a stand-in, in tests, for the replicas of the users' platform: model
// engines, which stream events and accept orders to load weight versions, and services, which
// respond without a stream.
//
// A Server records the requests that it runs and the orders that it receives, so that tests can
// check what nodes sent. The text of a stream is a function of the request's ID (EventCount,
// EventData, Text). Tests inject Faults. A Network provides in-memory connections for tests on
// a virtual clock.
package replica
