package autoscale

import (
	"testing"
	"time"
)

func TestIsDue(t *testing.T) {
	for name, test := range map[string]struct {
		zone zoneFacts
		want bool
	}{
		"nothing changes":            {zoneFacts{wanted: 4, current: 4, sinceOrder: time.Hour}, false},
		"one more":                   {zoneFacts{wanted: 5, current: 4, sinceOrder: time.Hour}, false},
		"two more":                   {zoneFacts{wanted: 6, current: 4, sinceOrder: time.Hour}, true},
		"ordered a moment ago":       {zoneFacts{wanted: 6, current: 4, sinceOrder: minOrderInterval - 1}, false},
		"the zone has none":          {zoneFacts{wanted: 6, current: 4, sinceOrder: time.Hour, isFull: true}, false},
		"order may not be taken":     {zoneFacts{wanted: 4, current: 4, sinceOrder: time.Hour, isUnconfirmed: true}, true},
		"two fewer for a short time": {zoneFacts{wanted: 2, current: 4, sinceOrder: time.Hour, fewerFor: shrinkDelay - 1}, false},
		"two fewer for long":         {zoneFacts{wanted: 2, current: 4, sinceOrder: time.Hour, fewerFor: shrinkDelay}, true},
		"one fewer for long":         {zoneFacts{wanted: 3, current: 4, sinceOrder: time.Hour, fewerFor: time.Hour}, false},
	} {
		if due := isDue(test.zone); due != test.want {
			t.Errorf("%s: due %v", name, due)
		}
	}
}
