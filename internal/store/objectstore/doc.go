// Package objectstore declares the metadata store in which nodes keep persistent state:
// objects by kind and name, with conditional writes, listings and watches.
//
// The client of the store is in the adapter of the platform that runs it. All other
// packages depend on the Store interface and its errors, which tell whether a call may have
// taken effect. The package also holds what every user of a store needs: listing all pages,
// retrying a create, and counting calls.
package objectstore
