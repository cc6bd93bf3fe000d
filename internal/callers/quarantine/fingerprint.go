package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// fingerprintBytes is the length of a fingerprint. It is long enough to make collisions
// infeasible.
const fingerprintBytes = 16

// Fingerprint identifies a request. Requests that differ only in their ids and headers have
// the same fingerprint.
type Fingerprint [fingerprintBytes]byte

// fingerprintOf returns the fingerprint of a call: a hash of its tenant, host, method, target
// and body.
func fingerprintOf(call *dispatch.Call) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{call.Tenant, call.Host, call.Method, call.Target} {
		// The length prefix distinguishes ("ab", "c") from ("a", "bc").
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write([]byte(part))
	}
	digest.Write(call.Body)
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
