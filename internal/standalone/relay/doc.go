// Package relay distributes versioned documents, such as the configuration, from
// the few nodes that read the object API to all others. Probes carry the
// versions that a node holds; a node that holds an older version pulls the
// changes from one that holds a newer version. The version held never decreases.
package relay
