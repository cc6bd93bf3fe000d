// Package tenancy identifies the tenant of a request by the API key that it
// carries. The keys that operators declare are held as digests in an immutable
// Table, which is replaced whole with the configuration that it is part of: a key
// that is removed identifies nobody from the next request on. A lookup takes
// no lock and allocates nothing.
//
// It owns no state and relies on nothing but its input. Keys are secrets: the package
// keeps none, and a Key prints as "[redacted]".
package tenancy
