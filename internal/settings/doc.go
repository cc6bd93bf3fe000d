// Package settings reads and validates the settings of a node: its name, zone, region,
// addresses, limits and data folder.
//
// It defines the names and formats of the settings, in a YAML file and as flags. A flag takes
// precedence over the file. Load validates names, addresses and ranges, and reports every
// invalid setting. Whether the node can listen on an address is known only at startup, and
// reported as a *ListenError.
//
// The same type serves both kinds of node: a node with an ObjectStore runs on the users'
// platform (package instance), one with a Platform in the standalone stack
// (internal/standalone/process).
package settings
