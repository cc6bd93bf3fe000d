// Package tenancy identifies the tenant of a request by its API key. An immutable Table holds
// the digests of the keys that operators declare. It is part of the configuration and is
// replaced with it, so a removed key is rejected from the next request on. A lookup takes no
// lock and allocates no memory.
//
// The package has no state and no dependencies. API keys are secrets: the package stores only
// their digests, and a Key prints as "[redacted]".
package tenancy
