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
	trainerLag     *prometheus.GaugeVec
	passedOver     prometheus.Counter
	yielded        prometheus.Counter
	slotsLeft      prometheus.Counter
	waiting        *prometheus.GaugeVec
	invalidRecords prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	metrics := &metrics{
		runs:           prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_item_runs_total", Help: "Runs of items begun at replicas."}),
		moved:          prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_item_moves_total", Help: "Runs cut to go on at another replica, by why."}, []string{"reason"}),
		late:           prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_jobs_late_total", Help: "Batch jobs that ended later than their route names, by why."}, []string{"reason"}),
		takeovers:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_job_takeovers_total", Help: "Batch jobs taken over from other nodes."}),
		withoutReplica: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_jobs_without_home_total", Help: "Batch jobs refused because no replica is in the allowed regions."}),
		results:        prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_item_results_total", Help: "Items by how they ended."}, []string{"state"}),
		trainerLag:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "pathtally_trainer_lag_seconds", Help: "How far trainers of this node's open batch jobs are behind their period, by model."}, []string{"model"}),
		passedOver:     prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_items_passed_over_total", Help: "Items that waited so long that they preceded all others of their priority."}),
		yielded:        prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_jobs_yielded_total", Help: "Batch jobs that yielded to others because they could not be in time."}),
		slotsLeft:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_slots_left_total", Help: "Replicas whose free slots were left to other nodes for a time."}),
		waiting:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "pathtally_items_waiting", Help: "Items of this node's batch jobs that wait for a replica, by why."}, []string{"reason"}),
		invalidRecords: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_batch_records_invalid_total", Help: "Records of batch jobs in the store that could not be decoded."}),
	}
	registry.MustRegister(metrics.invalidRecords, metrics.runs, metrics.moved, metrics.late, metrics.takeovers, metrics.withoutReplica, metrics.results,
		metrics.trainerLag, metrics.passedOver, metrics.yielded, metrics.slotsLeft, metrics.waiting)
	return metrics
}
