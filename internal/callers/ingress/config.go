package ingress

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config holds the dependencies and limits of a Handler.
type Config struct {
	Directory *directory.Table
	Forwarder *forward.Forwarder
	Jobs      Jobs
	Headers   Headers
	Metrics   *Metrics
	Logger    klog.Logger
	// ConfigurationAge returns the time since the configuration was last confirmed to be
	// the newest.
	ConfigurationAge func() time.Duration
	// MaxConfigurationAge returns the configuration age beyond which no API key is accepted;
	// 0 means no limit.
	MaxConfigurationAge func() time.Duration
	// MaxTotalBodyBytes limits the total size of the bodies of all requests in progress; 0
	// means no limit.
	MaxTotalBodyBytes int64
	// Received is called once a request has been read completely; nil for none.
	Received func(ctx context.Context)
	// RelieveBodies ends a request whose body is incomplete, for the benefit of others, and returns
	// false if there is none. It may be nil.
	RelieveBodies func() bool
}
