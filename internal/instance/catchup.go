package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// catchUpPollInterval is the time between checks whether the node is up to date.
const catchUpPollInterval = 100 * time.Millisecond

// logCatchUp logs when the starting node is up to date. If it is not within the time of the
// settings, it also logs which state is missing.
func (c *components) logCatchUp(ctx context.Context) {
	bound := c.live.catchUp()
	late := false
	for {
		took := time.Since(c.started)
		missing := c.missingState()
		if len(missing) == 0 {
			c.logger.Info("node up to date", "tookMs", took.Milliseconds(), "boundMs", bound.Milliseconds())
			return
		}
		if took > bound && !late {
			late = true
			c.logger.Info("node not up to date in time", "lacking", missing, "tookMs", took.Milliseconds(), "boundMs", bound.Milliseconds())
		}
		if !objectstore.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
}
