package batch

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of batch jobs and their items.
type metrics struct {
	runs           prometheus.Counter
	moved          *prometheus.CounterVec
	late           *prometheus.CounterVec
	takeovers      prometheus.Counter
	withoutReplica prometheus.Counter
	results        *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	metrics := &metrics{
		runs:           prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_item_runs_total", Help: "Runs of items begun at replicas."}),
		moved:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_item_moves_total", Help: "Runs cut to go on at another replica, by why."}, []string{"reason"}),
		late:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_jobs_late_total", Help: "Batch jobs that ended later than their route names, by why."}, []string{"reason"}),
		takeovers:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_job_takeovers_total", Help: "Batch jobs taken over from other nodes."}),
		withoutReplica: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_jobs_without_home_total", Help: "Batch jobs refused because no replica is in the allowed regions."}),
		results:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_item_results_total", Help: "Items by how they ended."}, []string{"state"}),
	}
	registry.MustRegister(metrics.runs, metrics.moved, metrics.late, metrics.takeovers, metrics.withoutReplica, metrics.results)
	return metrics
}
