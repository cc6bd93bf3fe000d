package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// fit is a straight line through the points of one cost against the number of
// nodes.
type fit struct {
	Cost      string  `json:"cost"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope_per_node"`
	// ErrorPercent is the largest distance of a point from the line, as a
	// share of the largest point.
	ErrorPercent float64 `json:"error_percent"`
	At350        float64 `json:"at_350_nodes"`
}

// scaleReport is all that a scale run has found.
type scaleReport struct {
	Points []scalePoint `json:"points"`
	Fits   []fit        `json:"fits"`
	Real   *realNodes   `json:"real,omitempty"`
}

// costs are the figures that are fitted and plotted.
var costs = []struct {
	name string
	of   func(p scalePoint) float64
}{
	{"messages a node second", func(p scalePoint) float64 { return p.MessagesPerNode }},
	{"KB a node second", func(p scalePoint) float64 { return p.KBPerNode }},
	{"busiest node KB a second", func(p scalePoint) float64 { return p.BusiestKB }},
	{"percent of a core a node", func(p scalePoint) float64 { return p.CPUPercent }},
	{"heap MB a node", func(p scalePoint) float64 { return p.HeapMB }},
	{"object API requests a second", func(p scalePoint) float64 { return p.APIPerSecond }},
	{"config in force seconds", func(p scalePoint) float64 { return p.ConfigSeconds }},
	{"weights on all replicas seconds", func(p scalePoint) float64 { return p.WeightSeconds }},
	{"zone lost busiest KB a second", func(p scalePoint) float64 { return p.ZoneLossKB }},
	{"region healed busiest KB a second", func(p scalePoint) float64 { return p.RegionHealKB }},
	{"after outage API requests a second", func(p scalePoint) float64 { return p.OutageAfterAPI }},
}

const largestSize = 350

func fitAll(points []scalePoint) []fit {
	var fits []fit
	for _, cost := range costs {
		fits = append(fits, fitOne(cost.name, points, cost.of))
	}
	return fits
}

// fitOne is the least-squares line.
func fitOne(name string, points []scalePoint, of func(scalePoint) float64) fit {
	count := float64(len(points))
	sumX, sumY, sumXX, sumXY, largest := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		x, y := float64(p.Nodes), of(p)
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
		largest = math.Max(largest, math.Abs(y))
	}
	line := fit{Cost: name}
	if spread := count*sumXX - sumX*sumX; spread > 0 {
		line.Slope = (count*sumXY - sumX*sumY) / spread
	}
	line.Intercept = (sumY - line.Slope*sumX) / count
	for _, p := range points {
		if largest > 0 {
			line.ErrorPercent = math.Max(line.ErrorPercent, 100*math.Abs(of(p)-line.Intercept-line.Slope*float64(p.Nodes))/largest)
		}
	}
	line.At350 = line.Intercept + line.Slope*largestSize
	return line
}

func (r *scaleReport) write(folder string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(reportFile(folder, "scale.json"), data, 0o644); err != nil {
		return err
	}
	for i, cost := range costs {
		if err := plotCost(reportFile(folder, fmt.Sprintf("cost-%02d.png", i+1)), cost.name, r.Points, cost.of); err != nil {
			return err
		}
	}
	return nil
}

func plotCost(path, name string, points []scalePoint, of func(scalePoint) float64) error {
	chart := plot.New()
	chart.Title.Text = name
	chart.X.Label.Text = "nodes"
	chart.Y.Min = 0
	line := make(plotter.XYs, len(points))
	for i, p := range points {
		line[i] = plotter.XY{X: float64(p.Nodes), Y: of(p)}
	}
	drawn, marks, err := plotter.NewLinePoints(line)
	if err != nil {
		return err
	}
	chart.Add(drawn, marks, plotter.NewGrid())
	return chart.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

func (r *scaleReport) print(writer io.Writer) {
	fmt.Fprintf(writer, "%-36s", "cost")
	for _, p := range r.Points {
		fmt.Fprintf(writer, "%10d", p.Nodes)
	}
	fmt.Fprintf(writer, "%12s%12s%9s\n", "intercept", "slope", "error %")
	for i, cost := range costs {
		fmt.Fprintf(writer, "%-36s", cost.name)
		for _, p := range r.Points {
			fmt.Fprintf(writer, "%10.3f", cost.of(p))
		}
		fmt.Fprintf(writer, "%12.4f%12.6f%9.1f\n", r.Fits[i].Intercept, r.Fits[i].Slope, r.Fits[i].ErrorPercent)
	}
	if r.Real != nil {
		fmt.Fprintf(writer, "three real nodes: %.2f KB a second and %.2f%% of a core each, of which control; %d requests answered\n", r.Real.KBPerNode, r.Real.CPUPercent, r.Real.Answered)
	}
}
