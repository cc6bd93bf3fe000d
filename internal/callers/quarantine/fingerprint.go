package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// fingerprintBytes is the length of a fingerprint: too long for callers to find another
// request with the same one.
const fingerprintBytes = 16

// Fingerprint tells whether two requests are the same but for their ids.
type Fingerprint [fingerprintBytes]byte

// fingerprintOf is the fingerprint of a call: of its caller, where it goes, and its body.
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

// String is the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
