// Package homes decides in which regions a request may be served, and where its body may
// be held or stored, if its route or its tenant names the only regions (its homes).
//
// Set is the regions in which replicas may serve a request; Bounds adds the nodes that may
// hold its body, and travels with calls in their context. The package owns no state, knows
// no clock and does no input or output. Nothing that is unknown is allowed: a region ""
// is no home.
package homes
