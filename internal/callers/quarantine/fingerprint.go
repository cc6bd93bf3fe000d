package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// fingerprintBytes is the length of a fingerprint, long enough that nobody finds two
// requests with the same one.
const fingerprintBytes = 16

// Fingerprint is the same for requests that differ in their ids and headers alone.
type Fingerprint [fingerprintBytes]byte

// fingerprintOf returns the fingerprint of a call, over tenant, host, method, target and
// body.
func fingerprintOf(call *dispatch.Call) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{call.Tenant, call.Host, call.Method, call.Target} {
		// The length keeps "ab", "c" apart from "a", "bc".
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(call.Body)
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
