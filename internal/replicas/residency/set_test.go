package residency

import "testing"

func TestBothListsBind(t *testing.T) {
	for _, test := range []struct {
		name          string
		route, tenant []string
		region        string
		want          bool
	}{
		{"neither names any", nil, nil, "north", true},
		{"neither names any, region unknown", nil, nil, "", true},
		{"the route's", []string{"north"}, nil, "north", true},
		{"not the route's", []string{"north"}, nil, "south", false},
		{"the tenant's", nil, []string{"south"}, "south", true},
		{"in both", []string{"north", "south"}, []string{"south"}, "south", true},
		{"in one of two", []string{"north", "south"}, []string{"south"}, "north", false},
		{"they share none", []string{"north"}, []string{"south"}, "north", false},
		{"region unknown", []string{"north"}, nil, "", false},
	} {
		if got := Of(test.route, test.tenant).Allows(test.region); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}
