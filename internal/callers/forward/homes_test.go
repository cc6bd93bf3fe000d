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

// oneEach returns a forwarder with a replica in region north and one in region south. A third
// replica, at the northern backend, is in a zone without a region.
func oneEach(t *testing.T, north, south handler, tenants ...tenancy.Declared) (forwarder *Forwarder, northern, southern *backend) {
	t.Helper()
	northern, southern = startBackend(t, north), startBackend(t, south)
	forwarder = newForwarder()
	table := directory.NewTable("node", "n1", map[string]string{"n1": "north", "s1": "south"}, forwarder.config.Logger)
	forwarder.config.Directory = table
	declared, _ := tenancy.NewTable(tenants)
	table.SetConfiguration(&directory.Configuration{Version: 1, Tenants: declared}, 1)
	table.SetReplicas([]*directory.Replica{
		{ID: "n", Service: "s", Address: northern.address, Zone: "n1", Slots: 4, State: directory.ReplicaReady},
		{ID: "s", Service: "s", Address: southern.address, Zone: "s1", Slots: 4, State: directory.ReplicaReady},
		{ID: "u", Service: "s", Address: northern.address, Zone: "unknown", Slots: 4, State: directory.ReplicaReady},
	}, 0)
	return forwarder, northern, southern
}

func bound(kind directory.RouteKind, homes ...string) *directory.Route {
	made := route(kind)
	made.AllowedRegions = homes
	return made
}

// nullSink discards a stream.
type nullSink struct{}

func (nullSink) Begin(*dispatch.Response) {}
func (nullSink) Event(string) error       { return nil }

func TestRetriesAndHedgesStayAtHome(t *testing.T) {
	for name, outcome := range map[string]handler{"fails": status(http.StatusInternalServerError), "is full": status(http.StatusServiceUnavailable), "breaks off": aborts} {
		forwarder, northern, southern := oneEach(t, answers("from the north"), outcome)
		asked := bound(directory.RouteSafe, "south")
		asked.Objective = 40 * time.Millisecond
		forwarder.Do(t.Context(), asked, call(time.Second))
		asked.Kind, asked.Resumable = directory.RouteStream, true
		forwarder.Stream(t.Context(), asked, call(300*time.Millisecond), nullSink{})
		if southern.runs.Load() == 0 || northern.runs.Load() > 0 {
			t.Errorf("the home %s: %d sends to it, %d elsewhere", name, southern.runs.Load(), northern.runs.Load())
		}
	}
}

func TestRequestsWithoutAHomeAreRefusedAtOnce(t *testing.T) {
	tenant := tenancy.Declared{Tenant: tenancy.Tenant{Name: "southerner", AllowedRegions: []string{"south"}}}
	forwarder, northern, southern := oneEach(t, answers(""), answers(""), tenant)
	for name, asked := range map[string]*directory.Route{
		"a region that does not exist": bound(directory.RouteSafe, "atlantis"),
		"none in common":               bound(directory.RouteSafe, "north"),
	} {
		made := call(5 * time.Second)
		made.Tenant = "southerner"
		began := time.Now()
		_, err := forwarder.Do(t.Context(), asked, made)
		streamErr := forwarder.Stream(t.Context(), asked, made, nullSink{})
		for _, err := range []error{err, streamErr} {
			var refused *RefusedError
			if !errors.As(err, &refused) || refused.Reason != ReasonOutsideRegions || refused.RetryAfter != outsideHomeRetryAfter {
				t.Errorf("%s: %v", name, err)
			}
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("%s: refused after %v", name, took)
		}
	}
	if northern.runs.Load()+southern.runs.Load() > 0 {
		t.Error("a refused request was sent")
	}
}

// Guards against a retry that ignores a change of the allowed regions during the first attempt.
func TestAChangeOfHomesBindsTheNextSend(t *testing.T) {
	began, goOn := make(chan struct{}), make(chan struct{})
	forwarder, northern, southern := oneEach(t, answers("from the north"), func(writer http.ResponseWriter, _ *http.Request) {
		close(began)
		<-goOn
		writer.WriteHeader(http.StatusInternalServerError)
	})
	before, after := bound(directory.RouteSafe, "south"), bound(directory.RouteSafe, "north")
	done := make(chan *BufferedResponse)
	go func() {
		whole, err := forwarder.Do(t.Context(), before, call(10*time.Second))
		if err != nil {
			t.Error(err)
		}
		done <- whole
	}()
	<-began
	forwarder.config.Directory.SetConfiguration(&directory.Configuration{Version: 2, Routes: []directory.Route{*after}}, 2)
	close(goOn)
	if whole := <-done; whole == nil || string(whole.Body) != "from the north" || southern.runs.Load() != 1 || northern.runs.Load() != 1 {
		t.Errorf("answer %v after %d runs in the south and %d in the north", whole, southern.runs.Load(), northern.runs.Load())
	}
}
