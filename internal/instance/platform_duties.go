package instance

import (
	"github.com/pathtally/pathtally/internal/duties/autoscale"
	"github.com/pathtally/pathtally/internal/duties/usage"
)

// DutyClients are clients of the platform's API for duties; nil for those that the platform
// does not support.
type DutyClients struct {
	Usage     usage.Platform
	Autoscale autoscale.Platform
}
