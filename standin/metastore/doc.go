// Package metastore stands in for the users' metadata store in tests: objects
// by kind and name with revisions, written on condition, listed, watched and
// forgotten.
//
// A Store owns its objects and the history of changes, in memory. Tests use it
// in process; its Server speaks the store's protocol over HTTP. Faults and delays
// are set by the test, call by call (fault.go); what a test does past them, as
// operators and replicas would, is in direct.go.
package metastore
