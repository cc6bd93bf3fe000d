// Package objectwire converts the metadata store's objects and changes to and from the
// messages between nodes, and compresses large listings. It is stateless. Corrupt input is
// reported as a *ListingError.
package objectwire
