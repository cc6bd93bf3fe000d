package dispatch

import (
	"net/http"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Guards against losing the reports of rejections, and against using those of another process at
// the replica's address, of an answer to another request, or of services without a slowdown.
func TestObserveLoad(t *testing.T) {
	full := routing.ReportedLoad{Slots: 4, Slowdown: 2, HasSlowdown: true}
	for _, test := range []struct {
		name     string
		status   int
		metadata ResponseMetadata
		report   routing.ReportedLoad
		want     bool
	}{
		{"answer", http.StatusOK, ResponseMetadata{RequestID: "one", Signed: true}, full, true},
		{"rejection", http.StatusServiceUnavailable, ResponseMetadata{RequestID: "one", NotRun: true}, full, true},
		{"other request", http.StatusOK, ResponseMetadata{RequestID: "two", Signed: true}, full, false},
		{"other process", http.StatusMisdirectedRequest, ResponseMetadata{RequestID: "one", NotRun: true, AddressReassigned: true}, full, false},
		{"unsigned", http.StatusOK, ResponseMetadata{RequestID: "one"}, full, false},
		{"other slots", http.StatusOK, ResponseMetadata{RequestID: "one", Signed: true}, routing.ReportedLoad{Slots: 5, Slowdown: 2, HasSlowdown: true}, false},
		{"no slowdown", http.StatusOK, ResponseMetadata{RequestID: "one", Signed: true}, routing.ReportedLoad{Running: 4, Slots: 4, Slowdown: 1}, false},
	} {
		endpoint := routing.NewReplicaEndpoint("r", "a", "z", "", "s", 4, routing.NewEndpointState())
		test.metadata.Load = &test.report
		response := &Response{Response: &exchange.Response{Status: test.status}, Metadata: test.metadata, Endpoint: endpoint}
		(&Dispatcher{logger: klog.Background()}).observeLoad(response, &Call{ID: "one"})
		if _, known := endpoint.State.ReportedSlowdown(time.Now()); known != test.want || !test.want && endpoint.Load() != 0 {
			t.Errorf("%s: report used %v, want %v", test.name, known, test.want)
		}
	}
}
