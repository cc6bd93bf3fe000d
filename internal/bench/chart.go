package bench

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/pathtally/pathtally/internal/timeline"
)

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

// colors are the line colors of stepSeries, by index.
var colors = []color.Color{
	color.RGBA{R: 200, A: 255},
	color.RGBA{B: 200, A: 255},
	color.RGBA{G: 140, A: 255},
	color.RGBA{R: 160, G: 90, A: 255},
}

// series is one line of the chart. time returns its value for a step, in seconds.
type series struct {
	name string
	time func(*timeline.Step) float64
}

// stepSeries are the lines of the chart.
var stepSeries = []series{
	{"half listed", func(step *timeline.Step) float64 { return step.Listed50 }},
	{"95% listed", func(step *timeline.Step) float64 { return step.Listed95 }},
	{"ended", func(step *timeline.Step) float64 { return step.Ended }},
	{"bound", func(step *timeline.Step) float64 { return step.Bound }},
}

// plotSteps plots stepSeries into a file. The file extension selects the format.
func plotSteps(read *timeline.Timeline, path string) error {
	chart := plot.New()
	chart.Title.Text = "steps"
	chart.X.Label.Text, chart.Y.Label.Text = "accepted, s", "seconds since the acceptance"
	chart.Y.Min = 0
	for i, plotted := range stepSeries {
		line, dots, err := plotter.NewLinePoints(plotted.points(read.Steps))
		if err != nil {
			return err
		}
		line.Color, dots.Color = colors[i], colors[i]
		chart.Add(line, dots)
		chart.Legend.Add(plotted.name, line)
	}
	return chart.Save(chartWidth, chartHeight, path)
}

// points returns one point for each step whose time is known.
func (s series) points(steps []*timeline.Step) plotter.XYs {
	points := plotter.XYs{}
	for _, step := range steps {
		if value := s.time(step); value > 0 {
			points = append(points, plotter.XY{X: step.Accepted, Y: value})
		}
	}
	return points
}
