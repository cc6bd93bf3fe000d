// Package directory is what a node knows of the world outside: the configuration in
// force, the replicas, the weight versions that trainers have named, and the zones that
// are evacuated. Table owns it. Sinks take it from the copy of the metadata store
// (internal/store/watchcache), which lists and watches for them; everything else reads
// an immutable View from an atomic pointer.
//
// It guarantees within a process:
//
//   - The configuration's version and the named versions only rise.
//   - A start of a replica that has said it leaves gets no more requests.
//   - A replica of an evacuated zone is closed before the view that says so is
//     published, and opened only after the view that ends it.
//   - A replica that warms up is bounded before the view that lists it is published.
//
// usable.go decides which replicas are used, entry_book.go applies that to the entries of
// the store, listing.go and plans.go publish the result.
package directory
