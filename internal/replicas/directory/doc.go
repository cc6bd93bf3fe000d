// Package directory holds a node's view of the cluster: the active configuration, the
// replicas, the named weight versions and the evacuated zones. Table holds the state. Sinks
// update it from the local copy of the metadata store (internal/store/watchcache), which
// lists and watches the objects. Readers get an immutable View from an atomic pointer.
//
// Within a process:
//
//   - The versions of the configuration and of the weights never decrease.
//   - An incarnation of a replica gets no more requests once its entry said that it drains.
//   - Endpoints in an evacuated zone are marked as evacuated before the view with the
//     evacuation is published, and unmarked only after the view without it is published.
//   - The requests to a warming replica are limited before the view that lists it is
//     published.
//
// usable.go decides which replicas are used, entry_tracker.go applies these decisions to the
// entries in the store, and listing.go and plans.go publish the result.
package directory
