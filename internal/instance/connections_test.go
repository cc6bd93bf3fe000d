package instance

import (
	"testing"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/exchange"
)

// A service's bound on connections used to be read and not kept to.
func TestConnectionsAreSharedAmongNodes(t *testing.T) {
	for _, test := range []struct {
		name                 string
		most, nodes, replica int
		want                 exchange.Bound
	}{
		{"few nodes", 150, 9, 8, exchange.Bound{Open: 24, Resting: 24}},
		{"many nodes", 490, 67, 6, exchange.Bound{Open: 18, Resting: 18}},
		{"very many nodes", 100, 350, 6, exchange.Bound{Open: 18, Resting: 18}},
		{"one node", 400, 1, 8, exchange.Bound{Open: 320, Resting: 32}},
		{"fewer connections than slots", 4, 1, 8, exchange.Bound{Open: 4, Resting: 4}},
		{"no bound", 0, 9, 8, exchange.Bound{Open: unboundedConnections, Resting: 32}},
	} {
		view := &directory.View{
			Configuration: &directory.Configuration{Services: map[string]directory.Service{"s": {Name: "s", MaxConnections: test.most}}},
			Replicas:      map[string]*directory.Replica{"r": {ID: "r", Service: "s", Address: "a", Slots: test.replica}},
		}
		if got := connectionBounds(view, test.nodes)["a"]; got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}
