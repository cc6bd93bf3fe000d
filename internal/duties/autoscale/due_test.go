package autoscale

import (
	"testing"
	"time"
)

func TestIsDue(t *testing.T) {
	for name, test := range map[string]struct {
		inputs dueInputs
		want   bool
	}{
		"no change":                  {dueInputs{target: 4, current: 4, sinceOrder: time.Hour}, false},
		"one more":                   {dueInputs{target: 5, current: 4, sinceOrder: time.Hour}, false},
		"two more":                   {dueInputs{target: 6, current: 4, sinceOrder: time.Hour}, true},
		"within minOrderInterval":    {dueInputs{target: 6, current: 4, sinceOrder: minOrderInterval - 1}, false},
		"exhausted zone":             {dueInputs{target: 6, current: 4, sinceOrder: time.Hour, isExhausted: true}, false},
		"unconfirmed order":          {dueInputs{target: 4, current: 4, sinceOrder: time.Hour, isUnconfirmed: true}, true},
		"two fewer for a short time": {dueInputs{target: 2, current: 4, sinceOrder: time.Hour, lowerFor: scaleDownDelay - 1}, false},
		"two fewer for long":         {dueInputs{target: 2, current: 4, sinceOrder: time.Hour, lowerFor: scaleDownDelay}, true},
		"one fewer for long":         {dueInputs{target: 3, current: 4, sinceOrder: time.Hour, lowerFor: time.Hour}, false},
	} {
		if due := isDue(test.inputs); due != test.want {
			t.Errorf("%s: due %v, want the opposite", name, due)
		}
	}
}
