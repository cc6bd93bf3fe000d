package tenancy

import "crypto/sha256"

// MaxKeyBytes bounds a key. Those that operators hand out have some tens of bytes;
// longer ones are rejected before they are digested.
const MaxKeyBytes = 256

// redacted stands for a key wherever one would be printed.
const redacted = "[redacted]"

// Key is an API key as a caller sends it. It must not be stored or logged; however it is
// printed, a placeholder appears.
type Key string

// String implements fmt.Stringer without the key.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer without the key.
func (Key) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler without the key.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// digest is what is kept of a key. Keys are drawn at random by those who declare
// them, so that a plain hash cannot be searched for them.
type digest [sha256.Size]byte

// digestOf digests a key without allocating.
func digestOf(key Key) digest {
	var buffer [MaxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}
