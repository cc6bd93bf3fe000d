// Package tenancy tells which tenant a request belongs to by the API key that it
// carries. The keys that operators declare are held as digests in an immutable
// Table, which is swapped whole with the configuration that it is part of: a key
// that is taken away identifies nobody from the next request on. A lookup takes
// no lock and allocates nothing.
//
// Keys are secrets: the package keeps none, and a Key prints as "[redacted]".
package tenancy
