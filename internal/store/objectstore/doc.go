// Package objectstore declares the metadata store in which nodes keep lasting state: objects
// by kind and name, written on condition, listed and watched.
//
// The client of the store is in the adapter of the platform that runs it; all other packages
// depend on the Store interface and on its errors, which tell whether a call may have taken
// effect. The package also holds what every user of a store needs: listing all pages,
// repeating a create until it is answered, and counting calls.
package objectstore
