package lease

import (
	"encoding/json"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	leaseKind = "leases"
	// leaseName is that of the first duty there was. It stays, so that nodes of
	// an earlier version contend for the same object.
	leaseName = "weight-orders"
	// unknownHolder stands for the writer of a lease that cannot be read. No node has
	// this name.
	unknownHolder = "?"
)

// storedLease is the lease in the store.
type storedLease struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	// Writes counts the writes of one process, so that each of them changes
	// the object, and with it the revision that successors wait by.
	Writes uint64 `json:"writes"`
	// Released says that the node sends no more calls.
	Released bool `json:"released,omitempty"`
}

// decodeLease reads the stored lease. One that cannot be read counts as another node's:
// it is waited for and then replaced, since otherwise nobody could hold the lease again.
func decodeLease(object objectstore.Object) Observation {
	var stored storedLease
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		klog.Background().Error(err, "duty lease is not readable, it is taken for another node's", "revision", object.Revision)
		return Observation{Holder: unknownHolder, Revision: object.Revision}
	}
	return Observation{Holder: stored.Node, Revision: object.Revision, Released: stored.Released}
}
