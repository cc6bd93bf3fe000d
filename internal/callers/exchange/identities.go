package exchange

import "hash/maphash"

// maxIdentities is the number of requests after which a connection is closed, so that the record of
// their identities stays small.
const maxIdentities = 1024

// identitySeed is the seed of the hashes of identities.
var identitySeed = maphash.MakeSeed()

// identities are the identities of the requests that a connection has carried. Two identities with
// the same hash count as one, which costs at most another connection.
type identities []uint64

// contains reports whether the connection has carried a request with the identity.
func (i identities) contains(identity string) bool {
	wanted := maphash.String(identitySeed, identity)
	for _, carried := range i {
		if carried == wanted {
			return true
		}
	}
	return false
}

// add records the identity of a request, unless it is empty.
func (i *identities) add(identity string) {
	if identity != "" {
		*i = append(*i, maphash.String(identitySeed, identity))
	}
}

// full reports whether the connection must not carry further requests.
func (i identities) full() bool { return len(i) >= maxIdentities }
