// Package rendezvous ranks candidates for a key by highest-random-weight hashing, so that a
// key moves to another candidate only when its own one is removed or a new one outranks it.
// All nodes that know the same candidates agree on the ranking without a message. The
// package keeps no state.
package rendezvous
