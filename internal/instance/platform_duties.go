package instance

import (
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/usage"
)

// Duties are clients of the platform's API for duties; nil for those that the platform does
// not support.
type Duties struct {
	Usage    usage.Platform
	Replicas autoscale.Platform
}
