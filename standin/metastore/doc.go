// Package metastore is an in-memory stand-in for the users' metadata store in tests. It stores
// objects by kind and name with revisions, and supports conditional writes, lists and watches.
//
// Tests use a Store in process; a Server serves it over HTTP with the store's protocol. Tests
// choose the fault and the delay of each call (fault.go). The methods in direct.go bypass
// faults and delays; tests use them to act as operators and replicas.
package metastore
