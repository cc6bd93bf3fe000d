package bench

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/pathtally/pathtally/internal/standalone/sim"
)

// spread is the mean of a figure over the seeds, with its least and greatest.
type spread struct {
	Mean  float64 `json:"mean"`
	Least float64 `json:"least"`
	Most  float64 `json:"most"`
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	total := 0.0
	for _, value := range values {
		total += value
	}
	return spread{Mean: total / float64(len(values)), Least: slices.Min(values), Most: slices.Max(values)}
}

// policyRow is one line of the table.
type policyRow struct {
	Policy        string `json:"policy"`
	Seeds         int    `json:"seeds"`
	Idle          spread `json:"idle_percent"`
	Bound         spread `json:"bound_idle_percent"`
	StalenessP50  spread `json:"staleness_p50"`
	StalenessP99  spread `json:"staleness_p99"`
	StalenessMax  spread `json:"staleness_max"`
	StalenessMean spread `json:"staleness_mean"`
	StepP50       spread `json:"step_p50_seconds"`
	StepP99       spread `json:"step_p99_seconds"`
	Wasted        spread `json:"tokens_wasted"`
	LiveP50       spread `json:"live_p50_ms"`
	LiveP99       spread `json:"live_p99_ms"`
	LiveLate      spread `json:"live_late_percent"`
	Moved         spread `json:"moved"`
	Raced         spread `json:"raced"`
}

// rolloutReport is all that the experiments have found.
type rolloutReport struct {
	Deployment string                 `json:"deployment"`
	Rows       []policyRow            `json:"rows"`
	Results    []sim.ExperimentResult `json:"results"`
	Violations int                    `json:"violations"`
}

func newRolloutReport(chosen rolloutFlags, results []sim.ExperimentResult) *rolloutReport {
	report := &rolloutReport{Deployment: chosen.folder, Results: results}
	var names []string
	for _, result := range results {
		report.Violations += len(result.Violations)
		if !slices.Contains(names, result.Policy) {
			names = append(names, result.Policy)
		}
	}
	for _, name := range names {
		report.Rows = append(report.Rows, rowOf(name, results))
	}
	return report
}

func rowOf(name string, results []sim.ExperimentResult) policyRow {
	row := policyRow{Policy: name}
	collect := func(of func(sim.ExperimentResult) float64) spread {
		var values []float64
		for _, result := range results {
			if result.Policy == name {
				values = append(values, of(result))
			}
		}
		row.Seeds = len(values)
		return spreadOf(values)
	}
	row.Idle = collect(func(r sim.ExperimentResult) float64 { return r.IdlePercent })
	row.Bound = collect(func(r sim.ExperimentResult) float64 { return r.BoundPercent })
	row.StalenessP50 = collect(func(r sim.ExperimentResult) float64 { return float64(quantile(r.Staleness, 0.5)) })
	row.StalenessP99 = collect(func(r sim.ExperimentResult) float64 { return float64(quantile(r.Staleness, 0.99)) })
	row.StalenessMax = collect(func(r sim.ExperimentResult) float64 { return float64(quantile(r.Staleness, 1)) })
	row.StalenessMean = collect(func(r sim.ExperimentResult) float64 { return mean(r.Staleness) })
	row.StepP50 = collect(func(r sim.ExperimentResult) float64 { return quantile(r.StepTimes, 0.5).Seconds() })
	row.StepP99 = collect(func(r sim.ExperimentResult) float64 { return quantile(r.StepTimes, 0.99).Seconds() })
	row.Wasted = collect(func(r sim.ExperimentResult) float64 { return float64(r.TokensWasted) })
	row.LiveP50 = collect(func(r sim.ExperimentResult) float64 { return milliseconds(quantile(r.Live, 0.5)) })
	row.LiveP99 = collect(func(r sim.ExperimentResult) float64 { return milliseconds(quantile(r.Live, 0.99)) })
	row.LiveLate = collect(func(r sim.ExperimentResult) float64 {
		return 100 * float64(r.LiveLate) / math.Max(1, float64(r.LiveLate+len(r.Live)))
	})
	row.Moved = collect(func(r sim.ExperimentResult) float64 { return float64(r.Moved) })
	row.Raced = collect(func(r sim.ExperimentResult) float64 { return float64(r.Raced) })
	return row
}

func milliseconds(span time.Duration) float64 { return float64(span.Microseconds()) / 1000 }

func quantile[T int64 | time.Duration](values []T, share float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

func mean(values []int64) float64 {
	total := int64(0)
	for _, value := range values {
		total += value
	}
	return float64(total) / math.Max(1, float64(len(values)))
}

func (r *rolloutReport) print(writer io.Writer) {
	fmt.Fprintf(writer, "%s: mean over seeds (least to most)\n", r.Deployment)
	fmt.Fprintf(writer, "%-12s %24s %10s %18s %15s %10s %10s %9s\n", "policy", "idle %", "bound %", "staleness p50 p99 max", "step s p50 p99", "wasted", "live ms p50 p99", "late %")
	for _, row := range r.Rows {
		fmt.Fprintf(writer, "%-12s %7.1f (%5.1f to %5.1f) %10.1f %6.2f %5.2f %5.2f %8.1f %6.1f %12.0f %7.0f %6.0f %9.2f\n",
			row.Policy, row.Idle.Mean, row.Idle.Least, row.Idle.Most, row.Bound.Mean, row.StalenessP50.Mean, row.StalenessP99.Mean, row.StalenessMax.Mean,
			row.StepP50.Mean, row.StepP99.Mean, row.Wasted.Mean, row.LiveP50.Mean, row.LiveP99.Mean, row.LiveLate.Mean)
	}
}

func (r *rolloutReport) write(folder string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(reportFile(folder, "rollout.json"), data, 0o644); err != nil {
		return err
	}
	if err := r.writeCSV(reportFile(folder, "rollout.csv")); err != nil {
		return err
	}
	if err := r.plotTimeline(reportFile(folder, "steps.png")); err != nil {
		return err
	}
	if err := r.plotStaleness(reportFile(folder, "staleness.png")); err != nil {
		return err
	}
	return r.plotTrade(reportFile(folder, "idle-staleness.png"))
}

func (r *rolloutReport) writeCSV(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	writer := csv.NewWriter(file)
	rows := [][]string{{"policy", "seed", "steps", "idle_percent", "bound_percent", "staleness_p50", "staleness_p99", "staleness_max", "tokens_wasted", "moved", "raced", "live_p99_ms"}}
	for _, result := range r.Results {
		rows = append(rows, []string{
			result.Policy, strconv.FormatUint(result.Seed, 10), strconv.Itoa(result.Steps), fmt.Sprintf("%.3f", result.IdlePercent), fmt.Sprintf("%.3f", result.BoundPercent),
			fmt.Sprint(quantile(result.Staleness, 0.5)), fmt.Sprint(quantile(result.Staleness, 0.99)), fmt.Sprint(quantile(result.Staleness, 1)),
			fmt.Sprint(result.TokensWasted), fmt.Sprint(result.Moved), fmt.Sprint(result.Raced), fmt.Sprintf("%.1f", milliseconds(quantile(result.Live, 0.99))),
		})
	}
	return writer.WriteAll(rows)
}

// colours tell the policies apart.
var colours = []color.Color{
	color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255}, color.RGBA{R: 160, G: 90, A: 255}, color.Gray{Y: 90},
}

// plotTimeline draws the time that each step took, policy by policy.
func (r *rolloutReport) plotTimeline(path string) error {
	chart := plot.New()
	chart.Title.Text = "time of each step, first seed"
	chart.X.Label.Text, chart.Y.Label.Text = "step", "seconds"
	chart.Y.Min = 0
	seen := map[string]bool{}
	for _, result := range r.Results {
		if seen[result.Policy] || len(result.StepTimes) == 0 {
			continue
		}
		colour := colours[len(seen)%len(colours)]
		seen[result.Policy] = true
		points := make(plotter.XYs, len(result.StepTimes))
		for i, span := range result.StepTimes {
			points[i] = plotter.XY{X: float64(i), Y: span.Seconds()}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = colour
		chart.Add(line)
		chart.Legend.Add(result.Policy, line)
	}
	return chart.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// plotStaleness draws how many samples had which staleness.
func (r *rolloutReport) plotStaleness(path string) error {
	chart := plot.New()
	chart.Title.Text = "staleness of the samples"
	chart.X.Label.Text, chart.Y.Label.Text = "weight versions", "share of samples"
	counts := map[string]map[int64]float64{}
	for _, result := range r.Results {
		if counts[result.Policy] == nil {
			counts[result.Policy] = map[int64]float64{}
		}
		for _, value := range result.Staleness {
			counts[result.Policy][value]++
		}
	}
	for i, row := range r.Rows {
		total, most := 0.0, int64(0)
		for value, count := range counts[row.Policy] {
			total += count
			most = max(most, value)
		}
		points := make(plotter.XYs, most+1)
		for value := range points {
			points[value] = plotter.XY{X: float64(value), Y: counts[row.Policy][int64(value)] / math.Max(1, total)}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, marks.Color = colours[i%len(colours)], colours[i%len(colours)]
		chart.Add(line, marks)
		chart.Legend.Add(row.Policy, line, marks)
	}
	return chart.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// plotTrade draws idle time against staleness for each policy and seed.
func (r *rolloutReport) plotTrade(path string) error {
	chart := plot.New()
	chart.Title.Text = "idle time against staleness"
	chart.X.Label.Text, chart.Y.Label.Text = "mean staleness in weight versions", "trainer idle percent"
	chart.X.Min, chart.Y.Min = 0, 0
	chart.Legend.Left = true
	for i, row := range r.Rows {
		var points plotter.XYs
		for _, result := range r.Results {
			if result.Policy == row.Policy && len(result.Staleness) > 0 {
				points = append(points, plotter.XY{X: mean(result.Staleness), Y: result.IdlePercent})
			}
		}
		if len(points) == 0 {
			continue
		}
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		marks.Color = colours[i%len(colours)]
		chart.Add(marks)
		chart.Legend.Add(row.Policy, marks)
	}
	return chart.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

// reportFile returns the path of a result.
func reportFile(folder, name string) string { return filepath.Join(folder, name) }
