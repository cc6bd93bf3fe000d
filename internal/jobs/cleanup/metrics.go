package cleanup

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of deletions.
type metrics struct {
	jobs, objects  prometheus.Counter
	waiting        prometheus.Gauge
	invalidRecords prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{
		jobs:           prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_batch_jobs_deleted_total", Help: "Ended batch jobs that this node has deleted from the store."}),
		objects:        prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_batch_objects_deleted_total", Help: "Objects of batch jobs that this node has deleted from the store."}),
		waiting:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathtally_batch_jobs_to_delete", Help: "Ended batch jobs that this node will delete from the store."}),
		invalidRecords: prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathtally_batch_jobs_not_deletable", Help: "Records of batch jobs that can't be decoded and are left in the store."}),
	}
	registry.MustRegister(created.jobs, created.objects, created.waiting, created.invalidRecords)
	return created
}
