// Package settings reads and checks what a node is given at its start: its
// name, place, addresses, bounds and data folder.
//
// It owns the names and forms of the settings, in a YAML file and as flags; a
// flag takes precedence over the file. It relies on nothing at run time but the
// file. What Load returns has been checked as a whole: names, addresses and
// ranges are valid, and findings name each setting that is not. Whether an
// address can be listened on shows only at the start, as a *ListenError.
//
// One type serves both kinds of node: with ObjectStore a node runs on the
// users' platform (package instance), with Platform in the standalone stack
// (internal/standalone/process).
package settings
