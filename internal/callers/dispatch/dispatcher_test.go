package dispatch

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Guards against sending to a replica whose zone was evacuated after the replica was picked.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	pool := exchange.NewPool(func(context.Context, string) (net.Conn, error) {
		t.Error("a connection was opened")
		return nil, net.ErrClosed
	})
	state := routing.NewEndpointState()
	endpoint := routing.NewReplicaEndpoint("one", "address", "zone", "", "s", 1, state)
	state.SetEvacuated(true)
	registry := prometheus.NewRegistry()
	_, err := New(pool, nil, NewMetrics(registry)).Send(t.Context(), endpoint, &Call{})
	var withheld *WithheldError
	if !errors.As(err, &withheld) || MayHaveRun(err) {
		t.Errorf("the send ended with %v", err)
	}
	gathered, err := registry.Gather()
	if err != nil || len(gathered) != 1 || gathered[0].GetMetric()[0].GetCounter().GetValue() != 1 {
		t.Errorf("counted are %v, error %v", gathered, err)
	}
}
