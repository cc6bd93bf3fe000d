package cleanup

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// DefaultRetention is how long an ended job stays in the store unless the settings say otherwise. The
// platform's callers may read a job for two minutes after its submission.
const DefaultRetention = 10 * time.Minute

// Holder tells when this node performs the duty.
type Holder interface {
	// Hold reports whether this node performs the duty now.
	Hold(ctx context.Context) bool
	// BeginCall permits one call that is sent immediately. done must be called when the call has ended.
	BeginCall() (done func(answered bool), permitted bool)
	// MarkIdle records that there is nothing to do for now.
	MarkIdle()
}

// Config configures a Service.
type Config struct {
	// Node is the name of this node, for the ledger.
	Node string
	// Retention is how long an ended job stays in the store; 0 means DefaultRetention.
	Retention time.Duration
	Holder    Holder
	// Suspended reports whether nothing may be deleted now. The listing of a job's objects has those of
	// other jobs too, which this node may not be allowed to hold. It is nil for never.
	Suspended func() bool
	Store     objectstore.Store
	JobStore  *jobstore.Store
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// Clock must also advance while the machine is suspended.
	Clock clock.Clock
}
