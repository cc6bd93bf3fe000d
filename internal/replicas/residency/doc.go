// Package residency decides in which regions a request may be served and its body may be
// held or stored, for routes and tenants with allowed regions.
//
// Set is the set of regions in which replicas may serve a request. Bounds adds the nodes that
// may hold the body, and is passed in the context of calls. The package holds no state, reads
// no clock and does no I/O. An unknown region, "", is never an allowed region.
package residency
