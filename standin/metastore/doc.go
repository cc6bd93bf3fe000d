// Package metastore is a stand-in for the users' metadata store: objects by
// kind and name with revisions, written on condition, listed, watched and
// forgotten. Tests use it in process; its Server speaks the store's protocol
// over HTTP. Its faults are those that the protocol's page names.
package metastore
