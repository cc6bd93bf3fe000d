package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/loadgen"
)

const (
	cpuMetric       = "pathtally_process_cpu_seconds"
	loadDeadline    = 10 * time.Second
	histogramMost   = 60_000_000
	histogramDigits = 3
	metricsTimeout  = 2 * time.Second
)

// loadReport compares a node with its engine asked directly, in one run.
type loadReport struct {
	DirectP50Ms     float64          `json:"direct_p50_ms"`
	DirectP99Ms     float64          `json:"direct_p99_ms"`
	NodeP50Ms       float64          `json:"node_p50_ms"`
	NodeP99Ms       float64          `json:"node_p99_ms"`
	AddedP50Ms      float64          `json:"added_p50_ms"`
	AddedP99Ms      float64          `json:"added_p99_ms"`
	Requests        loadgen.Counts   `json:"requests"`
	NodeCPUSeconds  float64          `json:"node_cpu_seconds"`
	RequestsPerCore float64          `json:"requests_per_core_second"`
	Codes           map[string]int64 `json:"codes,omitempty"`
}

// runLoad sends the same open-loop load straight to an engine and through a
// node, and reads the node's processor time from its metrics.
func runLoad(context *invocation) error {
	node := context.flags.String("node", "127.0.0.1:8001", "HTTP address of the node")
	target := context.flags.String("engine", "127.0.0.1:9109", "HTTP address of an engine for the direct baseline")
	group := context.flags.String("group", "booking-app", "traffic group")
	model := context.flags.String("model", "booking-service", "model")
	rate := context.flags.Float64("rate", 100, "requests a second")
	span := context.flags.Duration("for", 10*time.Second, "how long each of the two loads lasts")
	tokens := context.flags.Int("tokens", 16, "longest answer")
	unsafeShare := context.flags.Float64("unsafe", 0, "part of the requests that is unsafe to repeat")
	if err := context.flags.Parse(context.args); err != nil {
		return err
	}
	direct, err := loadEngine(*target, *model, *rate, *span, *tokens)
	if err != nil {
		return err
	}
	report, err := loadNode(*node, loadgen.Stream{Group: *group, Model: *model, PerSecond: *rate, MaxTokens: *tokens, Deadline: loadDeadline, UnsafeShare: *unsafeShare}, *span)
	if err != nil {
		return err
	}
	report.DirectP50Ms, report.DirectP99Ms = float64(direct.ValueAtQuantile(50))/1000, float64(direct.ValueAtQuantile(99))/1000
	report.AddedP50Ms, report.AddedP99Ms = report.NodeP50Ms-report.DirectP50Ms, report.NodeP99Ms-report.DirectP99Ms
	line, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintln(context.stdout, string(line))
	if report.Requests.Wrong+report.Requests.Truncated > 0 {
		return &FailedError{What: "some answers were wrong or truncated"}
	}
	return nil
}

// loadEngine measures an engine without a node.
func loadEngine(address, model string, rate float64, span time.Duration, tokens int) (*hdrhistogram.Histogram, error) {
	client, err := engine.NewHTTPClient()
	if err != nil {
		return nil, err
	}
	defer client.Close()
	histogram := hdrhistogram.New(1, histogramMost, histogramDigits)
	var mutex sync.Mutex
	var open sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for begun := time.Now(); time.Since(begun) < span; <-ticker.C {
		sent := time.Now()
		open.Add(1)
		var once sync.Once
		request := engine.Request{ID: fmt.Sprintf("direct-%d", sent.UnixNano()), Model: model, Prompt: fmt.Sprint("direct ", sent.UnixNano()), MaxTokens: tokens, ChunkTokens: 1, Deadline: sent.Add(loadDeadline)}
		client.Start(address, request, func(event engine.Event) {
			if _, chunk := event.(engine.Chunk); chunk {
				return
			}
			once.Do(func() {
				defer open.Done()
				if _, ended := event.(engine.End); ended {
					mutex.Lock()
					defer mutex.Unlock()
					_ = histogram.RecordValue(time.Since(sent).Microseconds())
				}
			})
		})
	}
	open.Wait()
	return histogram, nil
}

// loadNode measures the same load through a node.
func loadNode(address string, stream loadgen.Stream, span time.Duration) (*loadReport, error) {
	before, err := nodeCPU(address)
	if err != nil {
		return nil, err
	}
	generator := loadgen.New(loadgen.Config{Streams: []loadgen.Stream{stream}, Nodes: func() []string { return []string{address} }, Seed: uint64(time.Now().UnixNano())})
	ctx, cancel := context.WithTimeout(context.Background(), span)
	defer cancel()
	if err := generator.Run(ctx); err != nil {
		return nil, err
	}
	after, err := nodeCPU(address)
	if err != nil {
		return nil, err
	}
	report := &loadReport{Requests: generator.Counts(), Codes: generator.Codes(), NodeCPUSeconds: after - before}
	report.NodeP50Ms, report.NodeP99Ms = milliseconds(generator.Quantile(50)), milliseconds(generator.Quantile(99))
	if report.NodeCPUSeconds > 0 {
		report.RequestsPerCore = float64(report.Requests.Answered) / report.NodeCPUSeconds
	}
	return report, nil
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

// nodeCPU reads a node's processor time from its metrics.
func nodeCPU(address string) (float64, error) {
	_, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/metrics", metricsTimeout)
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(body), "\n") {
		if value, found := strings.CutPrefix(line, cpuMetric+" "); found {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, &FailedError{What: "the node has no metric " + cpuMetric}
}
