package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/pathtally/pathtally/internal/timeline"
)

// minPartSeconds is the shortest part of a step's time that is printed, in seconds.
const minPartSeconds = 0.05

// runTimeline prints the timeline of each step found in the log files.
func runTimeline(call *invocation) error {
	asJSON := call.flags.Bool("json", false, "write JSON instead of a table")
	chart := call.flags.String("plot", "", "draw the steps into this file, SVG or PNG by its ending")
	if err := call.parse(); err != nil {
		return err
	}
	if call.flags.NArg() == 0 {
		return &UsageError{Message: "name at least one log file"}
	}
	read, err := readTimeline(call.flags.Args())
	if err != nil {
		return err
	}
	if *chart != "" {
		if err := plotSteps(read, *chart); err != nil {
			return err
		}
	}
	if *asJSON {
		encoder := json.NewEncoder(call.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(read)
	}
	return writeTimeline(call.stdout, read)
}

// readTimeline reads the log files of one deployment.
func readTimeline(paths []string) (*timeline.Timeline, error) {
	var sources []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		sources = append(sources, file)
	}
	return timeline.Read(io.MultiReader(sources...))
}

// writeTimeline prints a table with one row for each step, and then the median ratio of all
// steps.
func writeTimeline(out io.Writer, read *timeline.Timeline) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "step\taccepted\tevent\t50%\t90%\t95%\t100%\tdesired\tended\tnamed\tloaded\tall loaded\ttakeovers\tmoves\tagain\tbound\tratio\twaited for\tlate\t")
	for _, step := range read.Steps {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\t\n",
			step.Number, step.Accepted, step.FirstEvent, step.Listed50, step.Listed90, step.Listed95, step.Listed100, step.DesiredWhole, step.Ended,
			step.VersionNamed, step.FirstLoaded, step.AllLoaded, step.Takeovers, step.Moves, step.RunAgain, step.Bound, step.Ratio(), describeStraggler(step.Last), step.Late)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	ratios := ratiosOf(read)
	if len(ratios) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(out, "achieved / bound: median %.2f of %d steps; fastest pace %.1f ms an event\n",
		ratios[len(ratios)/2], len(ratios), 1000*read.FastestPace)
	return err
}

// ratiosOf returns the known ratios of all steps in ascending order.
func ratiosOf(read *timeline.Timeline) []float64 {
	var ratios []float64
	for _, step := range read.Steps {
		if ratio := step.Ratio(); ratio > 0 {
			ratios = append(ratios, ratio)
		}
	}
	slices.Sort(ratios)
	return ratios
}

// describeStraggler formats the item that a step waited for, with the main parts of the time.
func describeStraggler(last *timeline.Straggler) string {
	if last == nil {
		return "-"
	}
	text := fmt.Sprintf("%s: %s, %d events at %s", last.Cause, last.Item, last.Events, last.Replica)
	for _, part := range last.Parts {
		if part.Seconds >= minPartSeconds {
			text += fmt.Sprintf(", %s %.2f", part.Cause, part.Seconds)
		}
	}
	return text
}
