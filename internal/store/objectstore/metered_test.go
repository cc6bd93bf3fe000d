package objectstore_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

func TestMeteredCountsCallsByOutcome(t *testing.T) {
	registry := prometheus.NewRegistry()
	store := objectstore.NewMetered(metastore.New(), registry)
	for range 2 {
		_, _ = store.Create(t.Context(), "kind", "name", []byte("1"))
	}
	_, _ = store.Get(t.Context(), "kind", "other", objectstore.MayBeStale)
	if _, err := store.List(t.Context(), "kind", "", objectstore.Linearizable); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil || len(families) != 1 || len(families[0].GetMetric()) != 4 {
		t.Errorf("metrics %v, error %v, want four combinations of call and outcome", families, err)
	}
}
