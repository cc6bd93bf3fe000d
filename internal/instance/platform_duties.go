package instance

import (
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/usage"
)

// Duties are what the platform takes from one node for the whole deployment; nil
// for what it does not take.
type Duties struct {
	Usage    usage.Platform
	Replicas autoscale.Platform
}
