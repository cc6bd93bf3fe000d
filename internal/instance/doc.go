// Package instance is one running node: it assembles the parts of a node (assemble.go),
// runs them over sockets (run.go, servers.go), passes messages of other nodes to them
// (messages.go), takes changed settings (live_settings.go), and stops them as planned
// (stop.go).
//
// It owns no state that lasts: all of that is in the metadata store, so each node may be
// stopped, replaced or lost at any time. It relies on an Adapter for everything that the
// platform names or encodes.
//
// A planned stop calls the node unready first, hands over its duties and, late in the
// grace, its batch jobs, and cuts no request that ends within the grace.
package instance
