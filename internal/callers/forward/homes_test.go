package forward

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/tenancy"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// newRegionalForwarder returns a forwarder with a replica in region north and one in region
// south. A third replica, at the northern backend, is in a zone without a region.
func newRegionalForwarder(t *testing.T, north, south handler, tenants ...tenancy.Declaration) (forwarder *Forwarder, northern, southern *backend) {
	t.Helper()
	northern, southern = startBackend(t, north), startBackend(t, south)
	forwarder = newForwarder()
	table := directory.NewTable("node", "n1", map[string]string{"n1": "north", "s1": "south"}, forwarder.config.Logger)
	forwarder.config.Directory = table
	tenantTable, _ := tenancy.NewTable(tenants)
	table.SetConfiguration(&directory.Configuration{Version: 1, Tenants: tenantTable}, 1)
	table.SetReplicas([]*directory.Replica{
		{ID: "n", Service: "s", Address: northern.address, Zone: "n1", Slots: 4, State: directory.ReplicaReady},
		{ID: "s", Service: "s", Address: southern.address, Zone: "s1", Slots: 4, State: directory.ReplicaReady},
		{ID: "u", Service: "s", Address: northern.address, Zone: "unknown", Slots: 4, State: directory.ReplicaReady},
	}, 0)
	return forwarder, northern, southern
}

func routeWithin(kind directory.RouteKind, regions ...string) *directory.Route {
	route := testRoute(kind)
	route.AllowedRegions = regions
	return route
}

// nullSink discards a stream.
type nullSink struct{}

func (nullSink) Begin(*dispatch.Response) {}
func (nullSink) Event(string) error       { return nil }

func TestRetriesStayInAllowedRegions(t *testing.T) {
	for name, outcome := range map[string]handler{"server error": respondStatus(http.StatusInternalServerError), "full": respondStatus(http.StatusServiceUnavailable), "broken": abortConnection} {
		forwarder, northern, southern := newRegionalForwarder(t, respondWith("from the north"), outcome)
		route := routeWithin(directory.RouteSafe, "south")
		route.Objective = 40 * time.Millisecond
		forwarder.Do(t.Context(), route, testCall(time.Second))
		route.Kind, route.Resumable = directory.RouteStream, true
		forwarder.Stream(t.Context(), route, testCall(300*time.Millisecond), nullSink{})
		if southern.runs.Load() == 0 || northern.runs.Load() > 0 {
			t.Errorf("allowed region %s: %d requests sent there, %d elsewhere", name, southern.runs.Load(), northern.runs.Load())
		}
	}
}

func TestRefusesOutsideAllowedRegions(t *testing.T) {
	tenant := tenancy.Declaration{Tenant: tenancy.Tenant{Name: "southerner", AllowedRegions: []string{"south"}}}
	forwarder, northern, southern := newRegionalForwarder(t, respondWith(""), respondWith(""), tenant)
	for name, route := range map[string]*directory.Route{
		"unknown region": routeWithin(directory.RouteSafe, "atlantis"),
		"route and tenant have no region in common": routeWithin(directory.RouteSafe, "north"),
	} {
		call := testCall(5 * time.Second)
		call.Tenant = "southerner"
		start := time.Now()
		_, err := forwarder.Do(t.Context(), route, call)
		streamErr := forwarder.Stream(t.Context(), route, call, nullSink{})
		for _, err := range []error{err, streamErr} {
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != ReasonOutsideRegions || refused.RetryAfter != outsideRegionsRetryAfter {
				t.Errorf("%s: error %v, want refusal outside the allowed regions", name, err)
			}
		}
		if elapsed := time.Since(start); elapsed > 100*time.Millisecond {
			t.Errorf("%s: refused after %v, want no wait", name, elapsed)
		}
	}
	if northern.runs.Load()+southern.runs.Load() > 0 {
		t.Error("a refused request was sent")
	}
}

// Guards against a retry that ignores a change of the allowed regions during the first attempt.
func TestRetryUsesNewAllowedRegions(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	forwarder, northern, southern := newRegionalForwarder(t, respondWith("from the north"), func(writer http.ResponseWriter, _ *http.Request) {
		close(started)
		<-proceed
		writer.WriteHeader(http.StatusInternalServerError)
	})
	before, after := routeWithin(directory.RouteSafe, "south"), routeWithin(directory.RouteSafe, "north")
	done := make(chan *BufferedResponse)
	go func() {
		response, err := forwarder.Do(t.Context(), before, testCall(10*time.Second))
		if err != nil {
			t.Error(err)
		}
		done <- response
	}()
	<-started
	forwarder.config.Directory.SetConfiguration(&directory.Configuration{Version: 2, Routes: []directory.Route{*after}}, 2)
	close(proceed)
	if response := <-done; response == nil || string(response.Body) != "from the north" || southern.runs.Load() != 1 || northern.runs.Load() != 1 {
		t.Errorf("response %v after %d runs in the south and %d in the north, want 1 each", response, southern.runs.Load(), northern.runs.Load())
	}
}
