package weightorders

import "github.com/pathtally/pathtally/internal/directory"

// tellKeepers tells which replicas keep up with each model.
func (c *Coordinator) tellKeepers(homes map[string][]*directory.Replica) {
	if c.config.OnKeepers == nil {
		return
	}
	keepers := make(map[string]map[string]bool, len(homes))
	for model, kept := range homes {
		keepers[model] = make(map[string]bool, len(kept))
		for _, replica := range kept {
			keepers[model][replica.ID] = true
		}
	}
	c.config.OnKeepers(keepers)
}
