package tenancy

import "crypto/sha256"

// MaxKeyBytes is the maximum length of a key. Longer keys are rejected before they are hashed. The
// keys that operators hand out have some tens of bytes.
const MaxKeyBytes = 256

// redacted is printed in place of a key.
const redacted = "[redacted]"

// Key is an API key as sent by a caller. It must not be stored or logged; formatting and
// marshaling it yield a placeholder.
type Key string

// String implements fmt.Stringer; it does not reveal the key.
func (Key) String() string { return redacted }

// GoString implements fmt.GoStringer; it does not reveal the key.
func (Key) GoString() string { return redacted }

// MarshalText implements encoding.TextMarshaler; it does not reveal the key.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// digest is the SHA-256 hash of a key. Operators choose keys at random, so an unsalted hash is
// safe from dictionary attacks.
type digest [sha256.Size]byte

// digestOf returns the digest of a key without allocating. Bytes beyond MaxKeyBytes are ignored.
func digestOf(key Key) digest {
	var buffer [MaxKeyBytes]byte
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}
