package statistics

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// waitingTimeout is how long the announced waiting items of a node are valid.
	waitingTimeout = 1500 * time.Millisecond
	// intervalRetention is how long the usual interval of a replica is used after it was
	// observed or announced last. Differences between replicas mostly come from their machines.
	intervalRetention = 60 * time.Second
	// smoothingPeriod is the period over which recent intervals are averaged where no node
	// announces a usual one. Disturbances of 600 ms for 15% of the time raise the recent
	// interval, an average over 1 s, by a fifth or more for nearly half of the time.
	smoothingPeriod = 30 * time.Second
)

// PeerReports records what the heartbeats of other nodes say about waiting items and usual
// intervals. It is not safe for concurrent use.
type PeerReports struct {
	waiting   map[string]waitingReport
	announced map[string]usualInterval
	smoothed  map[string]usualInterval
}

// waitingReport is the number of items that wait at a node, by model.
type waitingReport struct {
	byModel    map[string]int
	receivedAt time.Time
}

// usualInterval is the usual time between events of a run at a replica.
type usualInterval struct {
	interval   time.Duration
	recordedAt time.Time
	// averagedOver is the time over which the interval has been averaged.
	averagedOver time.Duration
}

// NewPeerReports returns PeerReports without reports.
func NewPeerReports() *PeerReports {
	return &PeerReports{waiting: map[string]waitingReport{}, announced: map[string]usualInterval{}, smoothed: map[string]usualInterval{}}
}

// Learn records another node's heartbeat.
func (r *PeerReports) Learn(heartbeat *wire.NodeBeat, now time.Time) {
	delete(r.waiting, heartbeat.Node)
	report := waitingReport{byModel: map[string]int{}, receivedAt: now}
	for _, work := range heartbeat.Work {
		if work.Waiting > 0 {
			report.byModel[work.Model] += int(work.Waiting)
		}
	}
	if len(report.byModel) > 0 {
		r.waiting[heartbeat.Node] = report
	}
	for _, use := range heartbeat.Uses {
		if use.UsualIntervalUs > 0 {
			r.announced[use.Replica] = usualInterval{interval: time.Duration(use.UsualIntervalUs) * time.Microsecond, recordedAt: now}
		}
	}
}

// AddWaiting adds the waiting items of the other nodes to the counts by model.
func (r *PeerReports) AddWaiting(counts map[string]int, now time.Time) {
	maps.DeleteFunc(r.waiting, func(_ string, report waitingReport) bool { return now.Sub(report.receivedAt) >= waitingTimeout })
	for _, report := range r.waiting {
		for model, count := range report.byModel {
			counts[model] += count
		}
	}
}

// ObserveRecent records the recent interval of a replica, which is averaged.
func (r *PeerReports) ObserveRecent(replica string, interval time.Duration, now time.Time) {
	previous, known := r.smoothed[replica]
	if !known {
		r.smoothed[replica] = usualInterval{interval: interval, recordedAt: now}
		return
	}
	elapsed := now.Sub(previous.recordedAt)
	averagedOver := min(previous.averagedOver+elapsed, smoothingPeriod)
	if averagedOver <= 0 {
		return
	}
	weight := min(1, float64(elapsed)/float64(averagedOver))
	average := previous.interval + time.Duration(weight*float64(interval-previous.interval))
	r.smoothed[replica] = usualInterval{interval: average, recordedAt: now, averagedOver: averagedOver}
}

// UsualIntervals returns the known usual intervals by replica: those that other nodes announce
// or, if there are none, the averages of the recent ones. The two are not mixed, because an
// average includes disturbances and would make a replica look slower than others.
func (r *PeerReports) UsualIntervals(now time.Time) map[string]time.Duration {
	isExpired := func(_ string, known usualInterval) bool { return now.Sub(known.recordedAt) >= intervalRetention }
	maps.DeleteFunc(r.smoothed, isExpired)
	maps.DeleteFunc(r.announced, isExpired)
	known := r.announced
	if len(known) == 0 {
		known = r.smoothed
	}
	intervals := make(map[string]time.Duration, len(known))
	for replica, usual := range known {
		intervals[replica] = usual.interval
	}
	return intervals
}
