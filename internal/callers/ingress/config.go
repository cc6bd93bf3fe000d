package ingress

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config is what a Handler needs.
type Config struct {
	Directory *directory.Table
	Forwarder *forward.Forwarder
	Jobs      Jobs
	Headers   Headers
	Metrics   *Metrics
	Logger    klog.Logger
	// ConfigurationAge returns the time since the configuration was last known to be
	// the newest.
	ConfigurationAge func() time.Duration
	// KeyBound returns the configuration age beyond which no key is accepted; 0 for no
	// bound.
	KeyBound func() time.Duration
	// BodyBytes bounds the bodies of all requests in progress together; 0 for
	// no bound.
	BodyBytes int64
}
