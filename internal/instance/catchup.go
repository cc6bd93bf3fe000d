package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// defaultCatchUp holds where the settings name no time.
	defaultCatchUp = 5 * time.Second
	// catchUpLook is the time between looks at whether the node is up to date.
	catchUpLook = 100 * time.Millisecond
)

// watchCatchUp tells in the log when the starting node is up to date, and what
// it lacks if it is not within the time of its settings.
func (i *Instance) watchCatchUp(ctx context.Context) {
	bound := spanOr(i.current.Load().CatchUp.Std(), defaultCatchUp)
	late := false
	for {
		took := time.Since(i.started)
		lacking := i.lacking()
		if len(lacking) == 0 {
			i.logger.Info("node up to date", "tookMs", took.Milliseconds(), "boundMs", bound.Milliseconds())
			return
		}
		if took > bound && !late {
			late = true
			i.logger.Info("node not up to date in time", "lacking", lacking, "tookMs", took.Milliseconds(), "boundMs", bound.Milliseconds())
		}
		if !objectstore.Sleep(ctx, catchUpLook) {
			return
		}
	}
}
