package weightorders

import "time"

// choiceLogInterval is the minimum time between log lines about chosen loads.
const choiceLogInterval = time.Second

// Reasons for which a load is chosen before others.
const (
	reasonWaiting  = "items wait"
	reasonFast     = "fast replica"
	reasonSlow     = "fast replicas load or are up to date"
	reasonOptional = "nothing required"
	// reasonUsual is the reason without known speeds.
	reasonUsual = "least up to date"
)

// choiceReason returns why a load is chosen, before the loads chosen with it are counted.
func choiceReason(chosen task, loading map[string]int) string {
	switch {
	case chosen.speed.slots == 0:
		return reasonUsual
	case chosen.optional:
		return reasonOptional
	case chosen.isAwaited(loading):
		return reasonWaiting
	case chosen.speed.fast:
		return reasonFast
	}
	return reasonSlow
}

// recordChoices counts the chosen loads by reason, and logs the first of them. loading is the
// number of running loads by model before the choice, to which the chosen ones are added.
func (c *Coordinator) recordChoices(chosen []task, loading map[string]int, now time.Time) {
	for i, load := range chosen {
		reason := choiceReason(load, loading)
		loading[load.model]++
		c.choices.WithLabelValues(reason).Inc()
		if i > 0 || load.speed.slots == 0 || now.Sub(c.choiceLoggedAt) < choiceLogInterval {
			continue
		}
		c.choiceLoggedAt = now
		c.config.Logger.Info("load of weights chosen first", "replica", load.target.ID, "model", load.model, "version", load.version, "reason", reason,
			"speedClass", load.speed.class, "fast", load.speed.fast, "waitingItems", load.speed.waitingItems, "chosen", len(chosen))
	}
}
