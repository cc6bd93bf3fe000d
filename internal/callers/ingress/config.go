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
	// ConfigurationAge is for how long the configuration has not been known to
	// be the newest.
	ConfigurationAge func() time.Duration
	// KeyBound is from which such age on no key is trusted; 0 for never.
	KeyBound func() time.Duration
	// BodyBytes bounds the bodies of all requests in progress together; 0 for
	// no bound.
	BodyBytes int64
}
