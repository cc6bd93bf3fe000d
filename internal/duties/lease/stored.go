package lease

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	leaseKind = "leases"
	// leaseName names the lease of all duties, not just that of weight orders. Changing it
	// would let nodes of different versions hold the lease at the same time.
	leaseName = "weight-orders"
	// unknownHolder is the holder of a lease that cannot be decoded. No node has this name.
	unknownHolder = "?"
)

// storedLease is the stored form of the lease.
type storedLease struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	// Writes counts the writes of the process, so that each write changes the object and
	// with it the revision, by which successors detect renewals.
	Writes uint64 `json:"writes"`
	// Released means that the node sends no more calls.
	Released bool `json:"released,omitempty"`
}

// decodeLease decodes the stored lease. A lease that cannot be decoded is treated as held by
// another node: after the usual wait it is replaced, since otherwise no node could ever
// acquire it again.
func decodeLease(object objectstore.Object) Observation {
	var stored storedLease
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		klog.Background().Error(err, "failed to decode duty lease, treating it as held by another node", "revision", object.Revision)
		return Observation{Holder: unknownHolder, Revision: object.Revision}
	}
	return Observation{Holder: stored.Node, Revision: object.Revision, Released: stored.Released}
}
