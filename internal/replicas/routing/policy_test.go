package routing

import (
	"slices"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/residency"
)

// Each step makes one more filter refuse, from the last to the first, so that the reason must
// always be that of the added one.
func TestRequestChainRefusalOrder(t *testing.T) {
	endpoint := testPlan(1).Endpoints()[0]
	endpoint.Region = "north"
	query := &Query{}
	for _, step := range []struct {
		modify func()
		reason Reason
	}{
		{func() {}, ""},
		{func() { query.MaxLoadShare = 1; endpoint.State.InFlight.Store(20) }, ReasonFull},
		{func() { query.MinVersion = 4 }, ReasonVersion},
		{func() { query.AllowedRegions = residency.Of([]string{"south"}, nil) }, ReasonOutsideRegions},
		{func() { endpoint.State.SetEvacuated(true) }, ReasonEvacuated},
		{func() { query.Tried = []string{endpoint.Name} }, ReasonUnavailable},
		{func() { endpoint.TakesRequests = false }, ReasonRole},
	} {
		step.modify()
		if reason, refused := RequestChain.Refuse(query, endpoint); reason != step.reason || refused != (step.reason != "") {
			t.Errorf("refused by %q, want %q", reason, step.reason)
		}
	}
}

func TestChainOrder(t *testing.T) {
	reasons := func(chain Chain) (order []Reason) {
		for _, filter := range chain {
			order = append(order, filter.Reason())
		}
		return order
	}
	if got, want := reasons(RequestChain), []Reason{
		ReasonRole, ReasonUnavailable, ReasonEvacuated, ReasonOutsideRegions, ReasonVersion, ReasonSlowStart, ReasonFull,
	}; !slices.Equal(got, want) {
		t.Errorf("live requests: %v, want %v", got, want)
	}
	if got, want := reasons(ItemChain), []Reason{ReasonRole, ReasonUnavailable, ReasonEvacuated, ReasonOutsideRegions, ReasonSlowStart}; !slices.Equal(got, want) {
		t.Errorf("items: %v, want %v", got, want)
	}
}
