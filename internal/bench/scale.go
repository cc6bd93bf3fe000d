package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/internal/sim"
)

const (
	scaleSettle   = 30 * time.Second
	scaleSteady   = 20 * time.Second
	regionCutSpan = 15 * time.Second
	scaleMinute   = time.Minute
	changeLimit   = 60 * time.Second
	changesTimed  = 5
	claimsRate    = 200
	claimsSpan    = 5 * time.Second
	convergeLook  = time.Second
	convergeLimit = 3 * time.Minute
	// statusBytes is one poll of an engine over HTTP, request and answer with
	// their headers: 265 bytes counted on the stand-in engine, when idle.
	statusBytes = 270
	kilobyte    = 1000.0
	megabyte    = 1e6
)

// scalePoint is what one size of deployment has shown.
type scalePoint struct {
	Nodes    int `json:"nodes"`
	Replicas int `json:"replicas"`

	MessagesPerNode float64 `json:"messages_per_node_second"`
	KBPerNode       float64 `json:"kb_per_node_second"`
	BusiestKB       float64 `json:"busiest_node_kb_second"`
	PollsPerNode    float64 `json:"engine_polls_per_node_second"`
	CPUPercent      float64 `json:"cpu_percent_of_a_core_per_node"`
	CodecPercent    float64 `json:"codec_percent_of_a_core_per_node"`
	HeapMB          float64 `json:"heap_mb_per_node"`
	Readers         int     `json:"object_api_readers"`
	APIPerSecond    float64 `json:"object_api_requests_per_second"`

	ConfigSeconds   float64 `json:"slowest_config_seconds"`
	ConfigKBPerNode float64 `json:"kb_per_node_per_config_change"`
	WeightSeconds   float64 `json:"weight_activation_seconds"`

	ClaimsGranted int     `json:"claims_granted"`
	ClaimMessages float64 `json:"messages_per_claim"`
	ClaimBytes    float64 `json:"bytes_per_claim"`

	ZoneLossKB       float64                `json:"zone_lost_busiest_kb_second"`
	ZoneLossAPI      float64                `json:"zone_lost_object_api_requests_per_second"`
	ZoneLossConfig   float64                `json:"zone_lost_config_seconds"`
	RegionHealKB     float64                `json:"region_healed_busiest_kb_second"`
	RegionHealSecs   float64                `json:"region_healed_converged_seconds"`
	OutageMinutes    float64                `json:"outage_minutes"`
	OutageAfterAPI   float64                `json:"after_outage_object_api_requests_per_second"`
	OutageAfterSecs  float64                `json:"after_outage_config_seconds"`
	ByType           map[string]sim.Traffic `json:"by_type"`
	WallClockSeconds float64                `json:"wall_clock_seconds"`
}

// regions and zones of the largest deployment.
func scalePlaces() []sim.Place {
	var places []sim.Place
	for region := range 3 {
		for zone := range 3 {
			places = append(places, sim.Place{Zone: fmt.Sprintf("zone-%d%d", region+1, zone+1), Region: fmt.Sprintf("region-%d", region+1)})
		}
	}
	return places
}

// runScale measures hollow nodes, the real duty code without sockets, at
// several sizes on a virtual clock.
func runScale(context *invocation) error {
	sizes := context.flags.String("nodes", "20,60,180,350", "numbers of nodes, separated by commas")
	replicas := context.flags.Int("replicas", 600, "engine replicas")
	out := context.flags.String("out", "out/scale", "folder for the results")
	outage := context.flags.Duration("outage", time.Hour, "virtual outage of the object API; shortened in proportion above 20 nodes")
	realSpan := context.flags.Duration("real", 10*time.Second, "how long three real nodes run beside; 0 leaves them out")
	if err := context.flags.Parse(context.args); err != nil {
		return err
	}
	if err := os.MkdirAll(*out, 0o755); err != nil {
		return err
	}
	var runs []*scaleRun
	for _, word := range strings.Split(*sizes, ",") {
		nodes, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil {
			return err
		}
		// Processor time and heap are measured one size after the other.
		runs = append(runs, newScaleRun(nodes, *replicas))
		fmt.Fprintf(context.stderr, "%d nodes: steady state measured\n", nodes)
	}
	var running sync.WaitGroup
	for _, run := range runs {
		running.Go(func() {
			run.disturb(*outage)
			fmt.Fprintf(context.stderr, "%d nodes: done\n", run.point.Nodes)
		})
	}
	running.Wait()
	var points []scalePoint
	for _, run := range runs {
		points = append(points, run.point)
	}
	report := scaleReport{Points: points, Fits: fitAll(points)}
	if *realSpan > 0 {
		measured, err := measureReal(*realSpan)
		if err != nil {
			return err
		}
		report.Real = measured
	}
	if err := report.write(*out); err != nil {
		return err
	}
	report.print(context.stdout)
	return nil
}

func processSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// scaleRun is one size under measurement.
type scaleRun struct {
	world    *sim.World
	meter    *sim.Meter
	polls    map[string]int
	operator *sim.Operator
	point    scalePoint
}

// newScaleRun brings one size up and measures its steady state.
func newScaleRun(nodes, replicas int) *scaleRun {
	before := heapBytes()
	config := sim.DefaultConfig(1)
	config.Nodes, config.Engines, config.Models, config.Places = nodes, replicas, 3, scalePlaces()
	run := &scaleRun{world: sim.NewWorld(config), point: scalePoint{Nodes: nodes, Replicas: replicas}}
	run.meter = sim.NewMeter(run.world.Network)
	run.world.StartQuiet()
	run.operator = run.world.NewOperator("operator")
	run.world.Scheduler.Run(scaleSettle)
	run.point.HeapMB = (heapBytes() - before) / megabyte / float64(nodes)
	run.steady()
	return run
}

// disturb measures changes, losses and outages. Their processor time is not
// counted, so sizes may run at the same time.
func (r *scaleRun) disturb(outage time.Duration) {
	begun := time.Now()
	r.changes()
	r.claims()
	r.zoneLoss()
	r.regionCut()
	r.outage(min(outage, max(time.Minute, outage*20/time.Duration(r.point.Nodes*r.point.Nodes/20))))
	r.point.WallClockSeconds = time.Since(begun).Seconds()
}

// during measures a span of virtual time.
func (r *scaleRun) during(span time.Duration) (requests int, cpu float64) {
	r.reset()
	requests, cpu = r.world.Platform.Requests, processSeconds()
	r.world.Scheduler.Run(span)
	return r.world.Platform.Requests - requests, processSeconds() - cpu
}

// reset begins a new count of messages and polls.
func (r *scaleRun) reset() {
	r.meter.Reset()
	r.polls = r.world.Polls()
}

// pollsSince returns the polls that each node has made since reset.
func (r *scaleRun) pollsSince() (byNode map[string]int, total int) {
	byNode = r.world.Polls()
	for node, count := range r.polls {
		byNode[node] -= count
	}
	for _, count := range byNode {
		total += count
	}
	return byNode, total
}

func (r *scaleRun) busiestKB(span time.Duration) float64 {
	polls, _ := r.pollsSince()
	return r.meter.Busiest(polls, statusBytes) / kilobyte / span.Seconds()
}

func (r *scaleRun) steady() {
	p := &r.point
	requests, cpu := r.during(scaleSteady)
	_, polls := r.pollsSince()
	nodeSeconds := scaleSteady.Seconds() * float64(p.Nodes)
	total := r.meter.Total()
	p.PollsPerNode = float64(polls) / nodeSeconds
	// Each message is sent by one node and received by another.
	p.MessagesPerNode = 2 * total.Messages / nodeSeconds
	p.KBPerNode = 2*total.Bytes/kilobyte/nodeSeconds + p.PollsPerNode*statusBytes/kilobyte
	p.BusiestKB = r.busiestKB(scaleSteady)
	p.CodecPercent = 100 * r.meter.CodecSeconds / nodeSeconds
	p.CPUPercent = 100*cpu/nodeSeconds + p.CodecPercent
	p.APIPerSecond = float64(requests) / scaleSteady.Seconds()
	p.Readers = r.world.ReaderCount()
	p.ByType = map[string]sim.Traffic{}
	for name, traffic := range r.meter.ByType {
		p.ByType[name] = sim.Traffic{Messages: 2 * traffic.Messages / nodeSeconds, Bytes: 2 * traffic.Bytes / nodeSeconds}
	}
}

func (r *scaleRun) changes() {
	steady := r.point.KBPerNode - r.point.PollsPerNode*statusBytes/kilobyte
	for range changesTimed {
		r.reset()
		took := r.world.ChangeOnce(r.operator, nil, changeLimit)
		r.point.ConfigSeconds = max(r.point.ConfigSeconds, took.Seconds())
		r.world.Scheduler.Run(scaleSettle / 10)
		span := took.Seconds() + (scaleSettle / 10).Seconds()
		r.point.ConfigKBPerNode = 2*r.meter.Total().Bytes/kilobyte/float64(r.point.Nodes) - steady*span
	}
	r.point.WeightSeconds = r.world.ActivateVersion(r.operator, 2, changeLimit).Seconds()
}

func (r *scaleRun) claims() {
	r.reset()
	r.point.ClaimsGranted = r.world.ClaimLoad(claimsRate, claimsSpan)
	messages, bytes := 0.0, 0.0
	for _, name := range []string{"ClaimRequest", "ClaimReply"} {
		if traffic := r.meter.ByType[name]; traffic != nil {
			messages += traffic.Messages
			bytes += traffic.Bytes
		}
	}
	sent := float64(claimsRate) * claimsSpan.Seconds()
	r.point.ClaimMessages, r.point.ClaimBytes = messages/sent, bytes/sent
}

func (r *scaleRun) zoneLoss() {
	replace := r.world.KillZone("zone-11")
	requests, _ := r.during(scaleMinute)
	r.point.ZoneLossKB = r.busiestKB(scaleMinute)
	r.point.ZoneLossAPI = float64(requests) / scaleMinute.Seconds()
	r.point.ZoneLossConfig = r.world.ChangeOnce(r.operator, nil, changeLimit).Seconds()
	replace()
	r.world.Scheduler.Run(scaleSteady)
}

func (r *scaleRun) regionCut() {
	heal := r.world.CutRegion("region-2")
	r.world.Scheduler.Run(regionCutSpan)
	r.operator.Change(nil)
	r.world.Scheduler.Run(regionCutSpan)
	heal()
	r.reset()
	begun := r.world.Scheduler.Now()
	for r.world.Scheduler.Now().Sub(begun) < convergeLimit && !r.world.Converged() {
		r.world.Scheduler.Run(convergeLook)
	}
	span := r.world.Scheduler.Now().Sub(begun)
	r.point.RegionHealSecs = span.Seconds()
	if rest := scaleMinute - span; rest > 0 {
		r.world.Scheduler.Run(rest)
		span = scaleMinute
	}
	r.point.RegionHealKB = r.busiestKB(span)
}

func (r *scaleRun) outage(span time.Duration) {
	r.point.OutageMinutes = span.Minutes()
	r.world.Platform.Outage = true
	r.world.Scheduler.Run(span)
	r.world.Platform.Outage = false
	requests, _ := r.during(scaleSteady)
	r.point.OutageAfterAPI = float64(requests) / scaleSteady.Seconds()
	r.point.OutageAfterSecs = r.world.ChangeOnce(r.operator, nil, changeLimit).Seconds()
}

// reportFile returns the path of a result.
func reportFile(folder, name string) string { return filepath.Join(folder, name) }
