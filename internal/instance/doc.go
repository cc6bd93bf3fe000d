// Package instance runs one node: it assembles the node's components (assemble.go), runs
// them over sockets (run.go, servers.go), dispatches messages of other nodes to them
// (messages.go), applies changed settings (live_settings.go), and stops them (stop.go).
//
// It owns no durable state: all of that is in the metadata store, so any node may be
// stopped, replaced or lost at any time. It relies on an Adapter for everything that the
// platform names or encodes.
//
// A planned stop first reports the node as not ready and releases its duties. Late in the
// grace period it hands over its batch jobs. It cuts no request that ends within the grace
// period.
package instance
