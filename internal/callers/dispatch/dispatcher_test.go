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
func TestSendToEvacuatedZone(t *testing.T) {
	pool := exchange.NewPool(func(context.Context, string) (net.Conn, error) {
		t.Error("connection opened to a replica in an evacuated zone")
		return nil, net.ErrClosed
	})
	state := routing.NewEndpointState()
	endpoint := routing.NewReplicaEndpoint("one", "address", "zone", "", "s", 1, state)
	state.SetEvacuated(true)
	registry := prometheus.NewRegistry()
	_, err := New(pool, nil, NewMetrics(registry)).Send(t.Context(), endpoint, &Call{})
	var withheld *WithheldError
	if !errors.As(err, &withheld) || MayHaveRun(err) {
		t.Errorf("error %v, want WithheldError", err)
	}
	gathered, err := registry.Gather()
	if err != nil || len(gathered) != 1 || gathered[0].GetMetric()[0].GetCounter().GetValue() != 1 {
		t.Errorf("metrics %v, error %v, want one withheld request", gathered, err)
	}
}
