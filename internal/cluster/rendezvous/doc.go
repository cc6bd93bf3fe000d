// Package rendezvous ranks candidates for a key by highest-random-weight hashing. A key
// moves to another candidate only when its own one is removed or a new one outranks it. All
// nodes that know the same candidates agree on the ranking without messages. The package is
// stateless.
package rendezvous
