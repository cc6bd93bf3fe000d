// Package objectwire converts the metadata store's objects and changes to messages between
// nodes and back, and compresses large listings. It keeps no state. Damaged input gives a
// *ListingError.
package objectwire
