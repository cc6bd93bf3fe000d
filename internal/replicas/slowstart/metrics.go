package slowstart

import "github.com/prometheus/client_golang/prometheus"

// allotterMetrics count the permits that this node allotted.
type allotterMetrics struct {
	allotted prometheus.Counter
	refused  prometheus.Counter
}

func newAllotterMetrics(registry prometheus.Registerer) *allotterMetrics {
	metrics := &allotterMetrics{
		allotted: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_warmup_allotted_total", Help: "Requests to warming replicas that this node has allotted."}),
		refused:  prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_warmup_refused_total", Help: "Requests to warming replicas that this node was asked for and has not allotted."}),
	}
	registry.MustRegister(metrics.allotted, metrics.refused)
	return metrics
}

// clientMetrics count the permits that this node requested, received and used.
type clientMetrics struct {
	warming   prometheus.Gauge
	requested prometheus.Counter
	received  prometheus.Counter
	used      prometheus.Counter
}

func newClientMetrics(registry prometheus.Registerer) *clientMetrics {
	metrics := &clientMetrics{
		warming:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathtally_warming_replicas", Help: "Replicas that warm up, as this node knows."}),
		requested: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_warmup_asked_total", Help: "Requests to warming replicas that this node has asked for."}),
		received:  prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_warmup_got_total", Help: "Requests to warming replicas that this node was allotted."}),
		used:      prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_warmup_used_total", Help: "Requests that this node has sent to warming replicas."}),
	}
	registry.MustRegister(metrics.warming, metrics.requested, metrics.received, metrics.used)
	return metrics
}
