package residency

import "testing"

func TestOf(t *testing.T) {
	for _, test := range []struct {
		name          string
		route, tenant []string
		region        string
		want          bool
	}{
		{"unrestricted", nil, nil, "north", true},
		{"unrestricted, region unknown", nil, nil, "", true},
		{"allowed by the route", []string{"north"}, nil, "north", true},
		{"not allowed by the route", []string{"north"}, nil, "south", false},
		{"allowed by the tenant", nil, []string{"south"}, "south", true},
		{"allowed by both", []string{"north", "south"}, []string{"south"}, "south", true},
		{"allowed by one of two", []string{"north", "south"}, []string{"south"}, "north", false},
		{"no common region", []string{"north"}, []string{"south"}, "north", false},
		{"region unknown", []string{"north"}, nil, "", false},
	} {
		if got := Of(test.route, test.tenant).Allows(test.region); got != test.want {
			t.Errorf("%s: allowed %v, want %v", test.name, got, test.want)
		}
	}
}
