package directory

import (
	"testing"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/tenancy"
)

// errorCounter is a log sink that counts errors.
type errorCounter struct{ errors *int }

func (errorCounter) Init(klog.RuntimeInfo)            {}
func (errorCounter) Enabled(int) bool                 { return true }
func (errorCounter) Info(int, string, ...any)         {}
func (c errorCounter) Error(error, string, ...any)    { *c.errors++ }
func (c errorCounter) WithValues(...any) klog.LogSink { return c }
func (c errorCounter) WithName(string) klog.LogSink   { return c }

func TestUnknownAllowedRegionsLoggedOnce(t *testing.T) {
	errors := 0
	table := NewTable("node", "n1", map[string]string{"n1": "north", "s1": "south"}, klog.New(errorCounter{&errors}))
	tenants, _ := tenancy.NewTable([]tenancy.Declaration{{Tenant: tenancy.Tenant{Name: "one", AllowedRegions: []string{"nowhere"}}}})
	configuration := &Configuration{
		Version: 1, Tenants: tenants, Routes: []Route{{Name: "bound", AllowedRegions: []string{"south", "atlantis"}}, {Name: "known", AllowedRegions: []string{"north"}}},
	}
	for range 3 {
		table.SetConfiguration(configuration, 1)
	}
	if errors != 2 {
		t.Errorf("%d errors logged, want one for the route and one for the tenant", errors)
	}
}

func TestAllowedRegionsOfActiveConfiguration(t *testing.T) {
	previous := &Route{Name: "moved", AllowedRegions: []string{"north"}}
	configuration := &Configuration{Routes: []Route{{Name: "moved", AllowedRegions: []string{"south"}}}}
	configuration.Index()
	if allowed := configuration.AllowedRegions(previous, "gone"); allowed.Allows("north") || !allowed.Allows("south") {
		t.Errorf("allowed in %v, want south", allowed.Regions())
	}
	if allowed := configuration.AllowedRegions(&Route{Name: "dropped", AllowedRegions: []string{"west"}}, ""); !allowed.Allows("west") || allowed.Allows("south") {
		t.Errorf("removed route: allowed in %v, want west", allowed.Regions())
	}
}
